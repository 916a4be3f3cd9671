//! One version of the configuration.

use std::collections::HashMap;

use base::prelude::*;

use crate::EngineProfile;

/// Whether and how requests of a route may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// A request may run more than once.
    Idempotent,
    /// A request may run at most once.
    OnceOnly,
    /// The response is a stream of events.
    Stream {
        /// Whether another server can continue after the last complete event.
        resumable: bool,
    },
}

impl CallKind {
    /// Whether a request that may have run may be retried.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// Service of a route, with its share of the requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: ServiceName,
    /// Weight relative to the route's other services.
    pub weight: u32,
}

/// Rule for requests with one host name and path prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name for logs.
    pub name: Arc<str>,
    /// Host name that it matches.
    pub host: Arc<str>,
    /// Path prefix that it matches; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Whether and how its requests may be retried.
    pub kind: CallKind,
    /// Longest time that a request may take.
    pub timeout: Duration,
    /// Target time until the response or its first event.
    pub objective: Duration,
    /// Target for the longest pause between events; `None` if there is none.
    pub gap_objective: Option<Duration>,
    /// Maximum number of servers on which a request may run.
    pub attempts: u32,
    /// Priority; zero is the most urgent.
    pub priority: u8,
    /// Whether requests are accepted without a key.
    pub is_public: bool,
    /// Services that share its requests.
    pub services: Vec<WeightedService>,
}

/// How servers of a service behave after a start during traffic.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStart {
    /// Time for which they are cold.
    pub duration: Duration,
    /// Requests a second that a cold server tolerates.
    pub per_second: f64,
}

/// Pool of servers that share a name.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: ServiceName,
    /// Maximum number of connections that one server accepts from all nodes together.
    pub connection_limit: usize,
    /// How its servers behave while they are cold; `None` if they never are.
    pub cold: Option<ColdStart>,
    /// Parameters of its model engines; `None` for a plain service.
    pub engine: Option<EngineProfile>,
}

/// Tenant, identified by the key of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Workspace {
    /// Name, as sent to servers.
    pub name: WorkspaceName,
    /// Whether its name can be sent to servers; its requests are rejected otherwise.
    pub can_be_sent: bool,
    /// Priority that overrides the route's; `None` for no override.
    pub priority: Option<u8>,
}

/// Limits on client connections and requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// Maximum size of a request's start line and headers, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: usize,
    /// Time within which a request's headers must arrive.
    pub header_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

/// One version of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct RoutingConfig {
    /// Version number; a higher one is newer.
    pub version: u64,
    /// Routes by host name, longest prefix first.
    pub routes: HashMap<Arc<str>, Vec<Arc<Route>>>,
    /// Services by name.
    pub services: HashMap<ServiceName, Service>,
    /// Workspaces by key; `None` if no request needs a key.
    pub workspaces: Option<HashMap<Arc<str>, Workspace>>,
    /// Limits on clients.
    pub limits: ClientLimits,
}

impl RoutingConfig {
    /// Creates a version; sorts each host's routes by descending prefix length.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: Vec<Service>,
        workspaces: Option<HashMap<Arc<str>, Workspace>>,
        limits: ClientLimits,
    ) -> Self {
        let mut by_host: HashMap<Arc<str>, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            let entry = by_host.entry(route.host.clone()).or_default();
            entry.push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let services = services.into_iter();
        Self {
            version,
            routes: by_host,
            services: services
                .map(|service| (service.name.clone(), service))
                .collect(),
            workspaces,
            limits,
        }
    }
}
