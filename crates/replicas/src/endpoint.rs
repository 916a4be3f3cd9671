//! Endpoints as the platform lists them and as they report themselves.

use std::net::SocketAddr;

use base::prelude::*;

/// Whether an endpoint stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// It takes work.
    Ready,
    /// It is about to leave.
    Leaving,
}

/// State of an endpoint within its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberPhase {
    /// Still loading weights or connecting.
    Joining,
    /// Joined; a head does not serve yet.
    Ready,
    /// Head that serves.
    Open,
    /// Head that finishes its work and takes no more.
    Closing,
    /// Lost another member.
    Broken,
}

impl MemberPhase {
    /// Place in the order that a member goes through without a new order.
    fn step(self) -> u8 {
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

/// Place of an endpoint in a group, as it says itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Membership {
    /// Group.
    pub group: GroupName,
    /// Generation of the group's membership.
    pub epoch: GroupEpoch,
    /// State there.
    pub phase: MemberPhase,
}

impl Endpoint {
    /// Whether a statement about this run is older than what is known.
    ///
    /// The list and reports reach a node on different ways, so one may come
    /// after a newer one.
    pub(crate) fn is_newer_than(&self, sequence: u64, membership: Option<&Membership>) -> bool {
        if sequence != self.sequence {
            return sequence < self.sequence;
        }
        match (&self.membership, membership) {
            (Some(known), Some(told)) => {
                known.group == told.group
                    && known.epoch == told.epoch
                    && told.phase.step() < known.phase.step()
            }
            _ => false,
        }
    }
}

/// Endpoint in the platform's list.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Identity of this start, mostly.
    pub id: HostName,
    /// Start of the process; tells two runs under one identity apart.
    pub incarnation: HostIncarnation,
    /// Service it belongs to.
    pub service: ServiceName,
    /// Address.
    pub address: SocketAddr,
    /// Failure domain.
    pub zone: DomainName,
    /// Fabric domain; none for a plain server.
    pub fabric: Option<FabricName>,
    /// Whether it stays.
    pub presence: Presence,
    /// Requests that it runs at once.
    pub slots: usize,
    /// Orders that it has accepted; tells older statements from newer ones.
    pub sequence: u64,
    /// Models whose weights lie on its host.
    pub staged: Vec<ModelName>,
    /// Group it is in.
    pub membership: Option<Membership>,
}

/// What an endpoint says of itself when asked.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointReport {
    /// Start of the process.
    pub incarnation: HostIncarnation,
    /// Orders that it has accepted.
    pub sequence: u64,
    /// Models whose weights lie on its host.
    pub staged: Vec<ModelName>,
    /// Group it is in.
    pub membership: Option<Membership>,
    /// Factor by which its work takes longer than usual.
    pub latency_factor: f64,
    /// Requests that wait there.
    pub queued: u32,
    /// Requests that run there.
    pub running: u32,
}
