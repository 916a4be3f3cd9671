//! Records that nodes keep of one another.

use std::net::SocketAddr;

use base::prelude::*;

/// Incarnation of a node's process; higher after each restart.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeIncarnation(pub u64);

/// Liveness of a node as seen by the others, in the order of precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum NodePhase {
    /// Known and not suspected.
    Alive,
    /// Silent; declared dead unless it refutes the suspicion in time.
    Suspect,
    /// Did not refute a suspicion in time, or has left the cluster.
    Dead,
}

/// Record of one node, as nodes exchange it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeRecord {
    /// Name of the node.
    pub node: NodeName,
    /// Region of the node.
    pub region: RegionName,
    /// Failure domain of the node.
    pub domain: DomainName,
    /// Address on which the node listens for peers.
    pub address: SocketAddr,
    /// Incarnation of the node's process.
    pub incarnation: NodeIncarnation,
    /// Number of suspicions that this incarnation has refuted.
    pub refutations: u32,
    /// Liveness of the node.
    pub phase: NodePhase,
}

impl NodeRecord {
    /// Order of precedence: of two records of a node, the greater one is kept.
    pub(crate) fn precedence(&self) -> (NodeIncarnation, u32, NodePhase) {
        (self.incarnation, self.refutations, self.phase)
    }
}
