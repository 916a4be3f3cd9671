//! What nodes tell one another.

use std::net::SocketAddr;

use base::prelude::*;
use relay::{LaneCounts, SendTarget};
use replicas::GroupRecord;

/// Node and where it takes messages.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerAddress {
    /// Node.
    pub node: NodeName,
    /// Address.
    pub address: SocketAddr,
}

/// Hundredths of its usual time that a slow group takes for the same work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlowPace(pub u32);

impl SlowPace {
    /// Pace from which a group counts as slow, in hundredths; reports of a healthy one vary less.
    const LEAST: u32 = 130;

    /// Pace of a group that takes so many times as long as usual, if that is slow.
    pub fn new(factor: f64) -> Option<Self> {
        // A group that hardly moves is as good as one that takes a hundred times as long.
        let percent = (factor * 100.0).clamp(0.0, 10_000.0) as u32;
        (percent >= Self::LEAST).then_some(Self(percent))
    }

    /// Requests that the group can run in time, of those that it runs at its usual pace.
    pub fn scale(self, slots: usize) -> usize {
        (slots * 100 / self.0.max(100) as usize).max(1)
    }
}

/// What a node says of itself again and again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Digest {
    /// Node.
    pub from: NodeName,
    /// Version of the configuration that it has in force; zero for none.
    pub intent_version: u64,
    /// Version of the record that it knows; zero for none.
    pub record_version: ObjectVersion,
    /// Version of the places that it uses; zero for none.
    pub places_version: ObjectVersion,
    /// Whether it forms the groups.
    pub owns: bool,
    /// Whether it could form the groups: it reaches the store and is not ending.
    pub can_own: bool,
    /// Requests that it has at each place, or that all nodes have there if it
    /// sums them up for a node that doesn't hear the others.
    pub counts: Vec<(HostName, LaneCounts)>,
    /// Heads that give it no bytes.
    pub silent: Vec<HostName>,
    /// Heads of groups that run slowly, as the owner knows.
    pub paces: Vec<(HostName, SlowPace)>,
}

/// Message from one node to another.
#[derive(Clone, Debug)]
pub enum PeerMessage {
    /// How the sender is.
    Digest(Box<Digest>),
    /// Text of a configuration that the receiver doesn't have.
    RoutingConfig(Arc<intent::RoutingConfig>, Arc<str>),
    /// Places that the receiver doesn't know of.
    Places(Arc<[SendTarget]>, ObjectVersion),
    /// Record that the receiver doesn't have.
    Record(Arc<GroupRecord>, ObjectVersion),
}
