//! Endpoints as the platform lists them and as they report their own state.

use std::net::SocketAddr;

use base::prelude::*;

/// Whether an endpoint stays in the pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// Available for work.
    Ready,
    /// About to be removed; gets no new work.
    Leaving,
}

/// State of an endpoint within its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberPhase {
    /// Still loading weights or connecting.
    Joining,
    /// Joined; if it is the head, it does not serve yet.
    Ready,
    /// Head that serves.
    Open,
    /// Head that finishes its requests and accepts no more.
    Closing,
    /// Has lost another member of the group.
    Broken,
}

impl MemberPhase {
    /// Whether a member was in this phase before another one, if it accepted no order between them.
    fn precedes(self, other: Self) -> bool {
        match (self, other) {
            // A head that has finished its requests is ready again.
            (Self::Closing, Self::Ready) => true,
            (Self::Ready, Self::Closing) => false,
            _ => self.ordinal() < other.ordinal(),
        }
    }

    /// Position among the phases, which a member passes in this order unless it gets a new order.
    fn ordinal(self) -> u8 {
        match self {
            Self::Joining => 0,
            Self::Ready => 1,
            Self::Open => 2,
            Self::Closing => 3,
            Self::Broken => 4,
        }
    }

    /// Whether the endpoint has finished joining.
    pub fn has_joined(self) -> bool {
        matches!(self, Self::Ready | Self::Open | Self::Closing)
    }
}

/// Group membership as the endpoint reports it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Membership {
    /// Group name.
    pub group: GroupName,
    /// Epoch of the group's member list.
    pub epoch: GroupEpoch,
    /// Phase within the group.
    pub phase: MemberPhase,
}

impl Endpoint {
    /// Whether the known state of this incarnation is newer than the given one.
    ///
    /// The platform's list and the endpoint's own reports reach a node by different
    /// paths, so an older state may arrive after a newer one.
    pub(crate) fn is_newer_than(&self, sequence: u64, membership: Option<&Membership>) -> bool {
        if sequence != self.sequence {
            return sequence < self.sequence;
        }
        match (&self.membership, membership) {
            (Some(current), Some(received)) => {
                current.group == received.group
                    && current.epoch == received.epoch
                    && received.phase.precedes(current.phase)
            }
            _ => false,
        }
    }
}

/// How long an endpoint remains cold, as its entry says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdReport {
    /// Time from when the entry was written; zero if the endpoint is warm.
    pub remaining: Duration,
    /// Version of the entry; zero if it is unknown.
    pub version: ObjectVersion,
}

/// Endpoint as the platform lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Identity; a restarted process may keep it, see `incarnation`.
    pub id: HostName,
    /// Start of the process; distinguishes two processes with the same identity.
    pub incarnation: HostIncarnation,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Address for requests and orders.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: DomainName,
    /// Fabric domain (hosts that can form a group together); `None` for a plain server.
    pub fabric: Option<FabricName>,
    /// Whether it stays in the pool.
    pub presence: Presence,
    /// Maximum number of concurrent requests.
    pub slots: usize,
    /// How long it remains cold; `None` if its entry doesn't say.
    pub cold: Option<ColdReport>,
    /// Number of orders that it has accepted; distinguishes older states from newer ones.
    pub sequence: u64,
    /// Models whose weights are stored on its host.
    pub staged: Vec<ModelName>,
    /// Group that it is in.
    pub membership: Option<Membership>,
}

/// Reply of an endpoint to a probe.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointReport {
    /// Start of the process that reports.
    pub incarnation: HostIncarnation,
    /// Number of orders that it has accepted.
    pub sequence: u64,
    /// Models whose weights are stored on its host.
    pub staged: Vec<ModelName>,
    /// Group that it is in.
    pub membership: Option<Membership>,
    /// Ratio of its processing times to the usual ones; 1.0 is normal.
    pub latency_factor: f64,
    /// Number of queued requests.
    pub queued: u32,
    /// Number of running requests.
    pub running: u32,
}
