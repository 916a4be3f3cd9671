//! Settings of a node.

use std::net::SocketAddr;

use base::prelude::*;

/// How much more than they tolerate cold servers may receive.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdBounds {
    /// Factor on the requests a second that a cold server tolerates.
    pub over: f64,
    /// Requests a second besides.
    pub slack: f64,
}

/// Limits that the operator sets for all nodes.
#[derive(Clone, Debug, PartialEq)]
pub struct EdgeBounds {
    /// Grace period between SIGTERM and SIGKILL.
    pub grace: Duration,
    /// Ratio of allowed retries to the requests of a service.
    pub retry_share: f64,
    /// Additional retries that all nodes together may make in a window.
    pub retry_slack: f64,
    /// Window over which retries are counted.
    pub retry_window: Duration,
    /// Time after its acknowledgement within which every node must apply a configuration.
    pub config_apply: Duration,
    /// Time after its acknowledgement within which no request reaches a server of an evacuated
    /// failure domain; `None` if failure domains are not evacuated.
    pub evacuate: Option<Duration>,
    /// What cold servers may receive; `None` if they are treated as all others.
    pub cold: Option<ColdBounds>,
}

/// Settings of a node.
#[derive(Clone, Debug, PartialEq)]
pub struct EdgeSettings {
    /// Name of the node.
    pub node: NodeName,
    /// Its failure domain.
    pub domain: DomainName,
    /// Thousandths of a core that the node may use; the nodes with the most become
    /// hubs and owners.
    pub capacity: u32,
    /// Bytes a second that the node's network link carries in each direction.
    pub link_rate: u64,
    /// Listener for clients.
    pub ingress: SocketAddr,
    /// Listener for the platform's readiness checks.
    pub ready: SocketAddr,
    /// Listener for other nodes.
    pub peers: SocketAddr,
    /// Listener for requests that other nodes pass on.
    pub passing: SocketAddr,
    /// Listener for the metrics page.
    pub metrics: SocketAddr,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Whether this is the first start of the whole system.
    pub is_first_start: bool,
    /// Limits that apply to all nodes.
    pub bounds: EdgeBounds,
}
