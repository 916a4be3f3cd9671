//! Servers that take requests.

use std::collections::HashMap;
use std::net::SocketAddr;

use base::prelude::*;

/// Server that takes requests: the head of a group, or a plain server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    /// Server.
    pub id: HostName,
    /// Its address.
    pub address: SocketAddr,
    /// Its failure domain.
    pub zone: DomainName,
    /// Service.
    pub service: ServiceName,
    /// Model, for the head of a group.
    pub model: Option<ModelName>,
    /// Generation of its group; zero for a plain server.
    pub epoch: GroupEpoch,
    /// Requests that it runs at once.
    pub slots: usize,
}

/// What runs at a place, and how it has done lately.
#[derive(Clone, Debug, Default)]
pub struct PlaceLoad {
    /// Requests of this node.
    pub own: u32,
    /// Requests of the other nodes, as they told.
    pub remote: HashMap<NodeName, (u32, ClockTime)>,
    /// Last time that bytes came from it.
    pub(crate) heard_at: Option<ClockTime>,
    /// Failures in a row.
    pub(crate) failures: u32,
    /// Instant until which other places are preferred.
    pub(crate) avoid_until: ClockTime,
}

impl PlaceLoad {
    /// Requests of all nodes, as far as known.
    pub fn total(&self, now: ClockTime) -> u32 {
        let fresh = self.remote.values().filter(|(_, expires)| *expires > now);
        self.own + fresh.map(|(count, _)| count).sum::<u32>()
    }
}
