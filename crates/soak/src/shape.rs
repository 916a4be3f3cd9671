//! Built-in deployment: two plain servers and twelve engines before a number of daemons.

use std::sync::Arc;
use std::time::Duration;

use intent::CallKind;
use platform::{
    ModelShape, NodeShape, RouteShape, ServerShape, ServiceShape, SiteBounds, SiteShape,
};

use crate::plan::PLAIN_SERVER_COUNT;

/// Number of engines.
const ENGINE_COUNT: usize = 12;
/// Most memory of an entry host in megabytes.
const MEMORY_MB: u64 = 260;
/// Failure domains.
const DOMAINS: [&str; 2] = ["zone-a", "zone-b"];

/// Server's slot: its address, and what has it at the start.
#[derive(Clone, Debug)]
pub(crate) struct SlotShape {
    pub service: Arc<str>,
    pub is_engine: bool,
    pub domain: Arc<str>,
    pub fabric: Option<Arc<str>>,
    /// Requests that a plain server runs at once, and those that it queues.
    pub slots: usize,
    pub queue: usize,
}

/// Slots of a deployment's servers: those of plain ones first.
pub(crate) fn slots(site: &SiteShape) -> Vec<SlotShape> {
    let mut slots = Vec::new();
    for service in &site.services {
        slots.extend(service.servers.iter().map(|server| SlotShape {
            service: service.name.clone(),
            is_engine: service.is_engine,
            domain: server.domain.clone(),
            fabric: server.fabric.clone(),
            slots: service.slots,
            queue: service.queue,
        }));
    }
    slots.sort_by_key(|slot| slot.is_engine);
    slots
}

/// Shape of the built-in deployment; its clients know its routes.
pub(crate) fn built_in(nodes: usize) -> SiteShape {
    let domain = |index: usize| Arc::<str>::from(DOMAINS[index % DOMAINS.len()]);
    let nodes = (0..nodes).map(|index| NodeShape {
        domain: domain(index),
        cpu_share: 0.25,
        memory_mb: MEMORY_MB,
        link_mbps: 20.0,
    });
    let plain = (0..PLAIN_SERVER_COUNT).map(|slot| ServerShape {
        domain: domain(slot),
        fabric: None,
    });
    let engines = (PLAIN_SERVER_COUNT..PLAIN_SERVER_COUNT + ENGINE_COUNT).map(|slot| ServerShape {
        domain: domain(slot),
        fabric: Some(format!("d{}", slot % 2).into()),
    });
    SiteShape {
        name: "built-in".into(),
        nodes: nodes.collect(),
        services: vec![
            service("app", plain.collect(), false),
            service("models", engines.collect(), true),
        ],
        models: vec![model("large", 3), model("small", 2)],
        routes: vec![
            route("o", "app", CallKind::OnceOnly, 1),
            route("s", "models", CallKind::Stream { resumable: true }, 2),
        ],
        traffic: Vec::new(),
        tenants: 1,
        bounds: SiteBounds {
            grace: Duration::from_secs(6),
            ..SiteBounds::default()
        },
    }
}

fn service(name: &str, servers: Vec<ServerShape>, is_engine: bool) -> ServiceShape {
    ServiceShape {
        name: name.into(),
        servers,
        slots: 8,
        queue: usize::MAX,
        connections: if is_engine { 200 } else { 100 },
        is_engine,
        form: Duration::from_millis(100),
    }
}

fn model(name: &str, size: usize) -> ModelShape {
    ModelShape {
        name: name.into(),
        size,
        pace: 1.0,
        share: 0.5,
        load: Duration::from_secs(2),
        warm: Duration::from_millis(300),
    }
}

fn route(name: &str, service: &str, kind: CallKind, attempts: u32) -> RouteShape {
    RouteShape {
        name: name.into(),
        service: service.into(),
        method: "POST".into(),
        kind,
        model: None,
        attempts,
        priority: 1,
        timeout: Duration::from_secs(6),
        client_timeout: Duration::from_secs(4),
        target_latency: Duration::from_millis(400),
        target_gap: None,
        work: Duration::from_millis(120),
        request_bytes: 0,
    }
}
