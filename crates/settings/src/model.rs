//! Checked settings.

use std::net::SocketAddr;

use base::prelude::*;
use log::LevelFilter;

/// Settings of one entry host.
#[derive(Clone, Debug, PartialEq)]
pub struct HostSettings {
    /// Its name among the system's own nodes.
    pub node: NodeName,
    /// Its failure domain.
    pub domain: DomainName,
    /// Where the platform's API listens.
    pub platform: SocketAddr,
    /// Least level of the records that are logged.
    pub log_level: LevelFilter,
    /// Where metrics go, if anywhere.
    pub statsd: Option<SocketAddr>,
    /// Settings of the gateway.
    pub gateway: GatewaySettings,
    /// Settings of the controller.
    pub controller: ControllerSettings,
}

/// Settings of the gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where operators and the balancer ask how it is.
    pub admin: SocketAddr,
    /// Interval between two questions to the same host.
    pub poll_interval: Duration,
    /// Life of an answer, counted from when it was asked for.
    pub report_validity: Duration,
    /// Silence after which a stream from an endpoint counts as dead.
    pub silence_limit: Duration,
    /// Time after SIGTERM in which it still accepts connections.
    pub balancer_notice: Duration,
    /// Longest time that a stop waits for calls under way.
    pub drain_limit: Duration,
    /// Connections open at once.
    pub connection_limit: usize,
    /// Bytes of a request's body.
    pub body_limit: usize,
    /// Time in which a client must send its headers, and then its body.
    pub client_timeout: Duration,
    /// Links to the other gateways, if there are any.
    pub peers: Option<PeerSettings>,
}

/// Settings of the controller.
#[derive(Clone, Debug, PartialEq)]
pub struct ControllerSettings {
    /// Where operators ask how it is.
    pub admin: SocketAddr,
    /// Interval between two questions to the same host.
    pub poll_interval: Duration,
}

/// Settings of the links to other nodes.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerSettings {
    /// Where other nodes connect.
    pub listen: SocketAddr,
    /// Nodes to ask first.
    pub seeds: Vec<SocketAddr>,
    /// Region of this node.
    pub region: RegionName,
}
