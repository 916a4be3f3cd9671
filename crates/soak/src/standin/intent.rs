//! The operator's configuration and its changes.

use serde_json::{Value, json};

/// Events of a whole stream.
pub(crate) const STREAM_EVENTS: u64 = 12;

/// Writes versions of the configuration.
pub(crate) struct IntentDesk {
    version: u64,
    keys: Vec<String>,
    drawn: usize,
    extra_routes: usize,
}

impl IntentDesk {
    /// First version, with some keys.
    pub fn new() -> Self {
        Self {
            version: 3,
            keys: (0..3).map(|index| format!("key-{index}")).collect(),
            drawn: 3,
            extra_routes: 0,
        }
    }

    /// Keys that are valid.
    pub fn keys(&self) -> &[String] {
        &self.keys
    }

    /// Takes the oldest key away and gives a new one out; returns both.
    pub fn replace_key(&mut self) -> (String, String) {
        let gone = self.keys.remove(0);
        let fresh = format!("key-{}", self.drawn);
        self.drawn += 1;
        self.keys.push(fresh.clone());
        (gone, fresh)
    }

    /// Adds a route that nobody uses.
    pub fn add_route(&mut self) {
        self.extra_routes += 1;
    }

    /// Next version in full.
    pub fn publish(&mut self) -> Value {
        self.version += 2;
        let route = |name: &str, prefix: &str, kind: &str, service: &str, attempts: u32| {
            json!({"name": name, "host": "a.example", "pathPrefix": prefix, "type": kind, "service": service,
                "timeoutMs": 6000, "targetLatencyMs": 400, "attempts": attempts, "priority": 1,
                "resumable": kind == "streaming", "sticky": kind == "streaming"})
        };
        let mut routes = vec![
            route("once", "/o/", "non_idempotent", "app", 1),
            route("stream", "/s/", "streaming", "models", 2),
        ];
        routes.extend((0..self.extra_routes).map(|index| {
            let (name, prefix) = (format!("extra-{index}"), format!("/x{index}/"));
            route(&name, &prefix, "idempotent", "app", 2)
        }));
        json!({
            "version": self.version, "routes": routes,
            "services": [
                {"name": "app", "healthPath": "/health", "maxConnections": 100},
                {"name": "models", "healthPath": "/health", "maxConnections": 200, "engine": {
                    "slots": 8, "loadsPerS": 5.0, "loads_at_once": 7, "formMs": 100.0,
                    "models": [
                        {"name": "large", "size": 3, "share": 0.5, "pace": 1.0, "loadS": 2.0, "warmS": 0.3},
                        {"name": "small", "size": 2, "share": 0.5, "pace": 1.0, "loadS": 2.0, "warmS": 0.3},
                    ]}},
            ],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 100000, "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000},
            "tenants": [{"name": "depot", "apiKeys": self.keys}],
        })
    }
}
