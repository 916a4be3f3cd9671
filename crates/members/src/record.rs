//! What nodes know of one another.

use std::net::SocketAddr;

use base::prelude::*;

/// Run of a node's process; a later run has a higher number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeIncarnation(pub u64);

/// Whether a node is taken to run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum NodePhase {
    /// Heard of.
    Alive,
    /// Silent; dead unless it objects.
    Suspect,
    /// Silent for too long, or left.
    Dead,
}

/// One node as others describe it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeRecord {
    /// Name of the node.
    pub node: NodeName,
    /// Its region.
    pub region: RegionName,
    /// Its failure domain.
    pub domain: DomainName,
    /// Where it listens for peers.
    pub address: SocketAddr,
    /// Run of its process.
    pub incarnation: NodeIncarnation,
    /// Suspicions that this run has objected to.
    pub refutations: u32,
    /// Whether it is taken to run.
    pub phase: NodePhase,
}

impl NodeRecord {
    /// Order in which records of one node replace each other.
    pub(crate) fn precedence(&self) -> (NodeIncarnation, u32, NodePhase) {
        (self.incarnation, self.refutations, self.phase)
    }
}
