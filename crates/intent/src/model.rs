//! One version of the configuration.

use std::collections::HashMap;

use base::prelude::*;

use crate::EngineProfile;

/// What may be repeated of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// May run more than once.
    Idempotent,
    /// May run once at most.
    OnceOnly,
    /// Series of events.
    Stream {
        /// Whether another server may go on after the last whole event.
        resumable: bool,
    },
}

impl CallKind {
    /// Whether a request that may have run may be sent again.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Whether the answer is a series of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// Service that takes a part of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// Service.
    pub service: ServiceName,
    /// Share beside the other targets.
    pub weight: u32,
}

/// Rule for the requests of one host name and path prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name in logs.
    pub name: Arc<str>,
    /// Host name it is for.
    pub host: Arc<str>,
    /// Path prefix, which begins and ends with a slash.
    pub prefix: Arc<str>,
    /// What may be repeated.
    pub kind: CallKind,
    /// Longest time a request may take.
    pub timeout: Duration,
    /// Time in which an answer, or its first event, is due.
    pub objective: Duration,
    /// Longest pause between events that is still on time.
    pub gap_objective: Option<Duration>,
    /// Servers on which one request may run.
    pub attempts: u32,
    /// Rank; zero is the most urgent.
    pub priority: u8,
    /// Whether requests need no key.
    pub is_public: bool,
    /// Where requests go.
    pub targets: Vec<WeightedService>,
}

/// Pool of servers.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name.
    pub name: ServiceName,
    /// Connections that one server takes from all callers together.
    pub connection_limit: usize,
    /// How its model engines work; none for a plain service.
    pub engine: Option<EngineProfile>,
}

/// Tenant whose key a request carries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Workspace {
    /// Name, as servers hear it.
    pub name: WorkspaceName,
    /// Rank that goes before the route's, if set.
    pub priority: Option<u8>,
}

/// What a client may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// Bytes of a request's line and headers.
    pub header_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Time in which the headers must arrive.
    pub header_timeout: Duration,
    /// Time that a connection may stay idle.
    pub idle_timeout: Duration,
}

/// One version of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct RoutingConfig {
    /// Version; a larger one is newer.
    pub version: u64,
    /// Routes by host name, longest prefix first.
    pub routes: HashMap<Arc<str>, Vec<Arc<Route>>>,
    /// Services by name.
    pub services: HashMap<ServiceName, Service>,
    /// Workspaces by key; none if requests need no keys at all.
    pub workspaces: Option<HashMap<Arc<str>, Workspace>>,
    /// What a client may send.
    pub limits: ClientLimits,
}

impl RoutingConfig {
    /// Version made of its parts.
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
