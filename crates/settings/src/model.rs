//! Validated settings.

use std::net::SocketAddr;

use base::prelude::*;
use log::LevelFilter;

/// Settings of one entry host.
#[derive(Clone, Debug, PartialEq)]
pub struct HostSettings {
    /// Name of the node among the nodes of the system.
    pub node: NodeName,
    /// Failure domain of the node.
    pub domain: DomainName,
    /// Address of the platform's API.
    pub platform: SocketAddr,
    /// Minimum level of logged records.
    pub log_level: LevelFilter,
    /// Address of the StatsD server; `None` if no metrics are sent.
    pub statsd: Option<SocketAddr>,
    /// Settings of the gateway.
    pub gateway: GatewaySettings,
    /// Settings of the controller.
    pub controller: ControllerSettings,
}

/// Settings of the gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// Address on which callers connect.
    pub listen: SocketAddr,
    /// Admin address for operators and for health checks of the load balancer.
    pub admin: SocketAddr,
    /// Interval between two polls of the same host.
    pub poll_interval: Duration,
    /// Time for which a report is valid, counted from its request.
    pub report_validity: Duration,
    /// Time without data after which a stream from an endpoint counts as failed.
    pub silence_limit: Duration,
    /// Time after SIGTERM in which connections are still accepted, so that the load
    /// balancer can notice.
    pub balancer_notice: Duration,
    /// Maximum time that a shutdown waits for running calls.
    pub drain_limit: Duration,
    /// Maximum number of open connections.
    pub connection_limit: usize,
    /// Maximum size of a request's body in bytes.
    pub body_limit: usize,
    /// Time limit for a client to send the headers of a request, again to send its body,
    /// and again to accept each event of a stream.
    pub client_timeout: Duration,
    /// Connections to other gateways; `None` if this one runs alone.
    pub peers: Option<PeerSettings>,
}

/// Settings of the controller.
#[derive(Clone, Debug, PartialEq)]
pub struct ControllerSettings {
    /// Admin address for operators.
    pub admin: SocketAddr,
    /// Interval between two polls of the same host.
    pub poll_interval: Duration,
}

/// Settings of the connections to other nodes.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerSettings {
    /// Address on which other nodes connect.
    pub listen: SocketAddr,
    /// Addresses of nodes to contact first.
    pub seeds: Vec<SocketAddr>,
    /// Region of the node.
    pub region: RegionName,
}
