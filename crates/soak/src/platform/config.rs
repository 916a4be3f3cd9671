//! The operators' configuration and its changes.

use serde_json::{Value, json};

/// Number of events of a complete stream.
pub(crate) const STREAM_EVENTS: u64 = 12;

/// Produces versions of the configuration.
pub(crate) struct ConfigPublisher {
    version: u64,
    keys: Vec<String>,
    issued_count: usize,
    extra_routes: usize,
}

impl ConfigPublisher {
    /// State before the first version, with three API keys.
    pub fn new() -> Self {
        Self {
            version: 3,
            keys: (0..3).map(|index| format!("key-{index}")).collect(),
            issued_count: 3,
            extra_routes: 0,
        }
    }

    /// Valid API keys, oldest first.
    pub fn keys(&self) -> &[String] {
        &self.keys
    }

    /// Revokes the oldest key and issues a new one; returns both in this order.
    pub fn replace_key(&mut self) -> (String, String) {
        let revoked = self.keys.remove(0);
        let issued = format!("key-{}", self.issued_count);
        self.issued_count += 1;
        self.keys.push(issued.clone());
        (revoked, issued)
    }

    /// Adds a route that no client uses.
    pub fn add_route(&mut self) {
        self.extra_routes += 1;
    }

    /// The next version of the configuration.
    pub fn next_version(&mut self) -> Value {
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
