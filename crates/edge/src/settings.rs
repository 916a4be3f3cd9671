//! What a node is told when it starts.

use std::net::SocketAddr;

use base::prelude::*;

/// Bounds that the operator sets for all nodes.
#[derive(Clone, Debug, PartialEq)]
pub struct EdgeBounds {
    /// Time between SIGTERM and SIGKILL.
    pub grace: Duration,
    /// Extra sends for each request of a service.
    pub retry_share: f64,
    /// Extra sends that all nodes together may make besides.
    pub retry_slack: f64,
    /// Window over which extra sends count.
    pub retry_window: Duration,
}

/// What a node is told when it starts.
#[derive(Clone, Debug, PartialEq)]
pub struct EdgeSettings {
    /// Name of this node.
    pub node: NodeName,
    /// Its failure domain.
    pub zone: DomainName,
    /// How much it can do; nodes that can do more take what one node does for all.
    pub rank: u32,
    /// Where clients come in.
    pub front: SocketAddr,
    /// Where the platform asks whether this node is ready.
    pub ready: SocketAddr,
    /// Where other nodes come in.
    pub peers: SocketAddr,
    /// Where metrics are served.
    pub metrics: SocketAddr,
    /// The platform's store.
    pub store: SocketAddr,
    /// Whether the whole system starts for the first time.
    pub is_first_start: bool,
    /// Bounds.
    pub bounds: EdgeBounds,
}
