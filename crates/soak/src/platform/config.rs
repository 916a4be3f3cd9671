//! The operators' configuration and its changes.

use std::rc::Rc;

use intent::CallKind;
use platform::{RouteShape, ServiceShape, SiteShape};
use serde_json::{Value, json};

/// Number of events of a complete stream.
pub(crate) const STREAM_EVENTS: u64 = 12;
/// Host of all routes.
pub(crate) const ROUTE_HOST: &str = "a.example";

/// Tenant that a key belongs to.
pub(crate) fn tenant_of(key: &str, tenants: usize) -> String {
    let number = key.rsplit('-').next().and_then(|text| text.parse().ok());
    match tenants {
        0 | 1 => "depot".to_owned(),
        _ => format!("depot-{}", number.unwrap_or(0_usize) % tenants),
    }
}

/// Produces versions of the configuration.
pub(crate) struct ConfigPublisher {
    site: Rc<SiteShape>,
    /// Kinds of the routes now.
    kinds: Vec<CallKind>,
    version: u64,
    keys: Vec<String>,
    issued_count: usize,
    extra_routes: usize,
}

impl ConfigPublisher {
    /// State before the first version, with three API keys or one for each tenant.
    pub fn new(site: Rc<SiteShape>) -> Self {
        let issued_count = site.tenants.max(3);
        Self {
            kinds: site.routes.iter().map(|route| route.kind).collect(),
            site,
            version: 3,
            keys: (0..issued_count)
                .map(|index| format!("key-{index}"))
                .collect(),
            issued_count,
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

    /// Makes an idempotent route one whose requests run once only, or the reverse; returns its
    /// kind from now on.
    pub fn change_kind(&mut self, route: usize) -> CallKind {
        let kind = &mut self.kinds[route];
        *kind = match *kind {
            CallKind::Idempotent => CallKind::OnceOnly,
            CallKind::OnceOnly => CallKind::Idempotent,
            CallKind::Stream { resumable } => CallKind::Stream { resumable },
        };
        *kind
    }

    /// The next version of the configuration.
    pub fn next_version(&mut self) -> Value {
        self.version += 2;
        let routes = self.site.routes.iter().zip(&self.kinds);
        let mut routes: Vec<_> = routes
            .map(|(route, kind)| route_json(route, *kind))
            .collect();
        routes.extend((0..self.extra_routes).map(|index| {
            let (name, prefix) = (format!("extra-{index}"), format!("/x{index}/"));
            let model = &self.site.routes[0];
            json!({"name": name, "host": ROUTE_HOST, "pathPrefix": prefix, "type": "idempotent",
                "service": model.service, "timeoutMs": 6000, "targetLatencyMs": 400, "attempts": 2,
                "priority": 1, "resumable": false, "sticky": false})
        }));
        let services = self.site.services.iter();
        let services: Vec<_> = services.map(|service| self.service_json(service)).collect();
        let tenant = |key: &String| tenant_of(key, self.site.tenants);
        let mut tenants: Vec<_> = self.keys.iter().map(tenant).collect();
        tenants.sort();
        tenants.dedup();
        let tenants = tenants.iter().map(|name| {
            let keys = self.keys.iter().filter(|key| tenant(key) == *name);
            json!({"name": name, "apiKeys": keys.collect::<Vec<_>>()})
        });
        json!({
            "version": self.version, "routes": routes, "services": services,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 100000, "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000},
            "tenants": tenants.collect::<Vec<_>>(),
        })
    }

    fn service_json(&self, service: &ServiceShape) -> Value {
        let mut value = json!({"name": service.name, "healthPath": "/health",
            "maxConnections": service.connections});
        if service.is_engine {
            let models = self.site.models.iter().map(|model| {
                json!({"name": model.name, "size": model.size, "share": model.share,
                    "pace": model.pace, "loadS": model.load.as_secs_f64(),
                    "warmS": model.warm.as_secs_f64()})
            });
            value["engine"] = json!({"slots": service.slots, "loadsPerS": self.loads_per_second(),
                "loads_at_once": 7, "formMs": service.form.as_secs_f64() * 1_000.0,
                "models": models.collect::<Vec<_>>()});
        }
        value
    }

    /// Loads that may begin in a second: enough for all engines to serve when clients come.
    fn loads_per_second(&self) -> f64 {
        let engines = self
            .site
            .services
            .iter()
            .filter(|service| service.is_engine);
        let count: usize = engines.map(|service| service.servers.len()).sum();
        (count as f64 / 3.0).max(5.0)
    }
}

fn route_json(route: &RouteShape, kind: CallKind) -> Value {
    let (kind, is_stream, resumable) = match kind {
        CallKind::Idempotent => ("idempotent", false, false),
        CallKind::OnceOnly => ("non_idempotent", false, false),
        CallKind::Stream { resumable } => ("streaming", true, resumable),
    };
    let mut value = json!({"name": route.name, "host": ROUTE_HOST,
        "pathPrefix": format!("/{}/", route.name), "type": kind, "service": route.service,
        "timeoutMs": route.timeout.as_millis() as u64,
        "targetLatencyMs": route.target_latency.as_millis() as u64, "attempts": route.attempts,
        "priority": route.priority, "resumable": resumable, "sticky": is_stream});
    if let Some(gap) = route.target_gap {
        value["targetGapMs"] = json!(gap.as_millis() as u64);
    }
    value
}
