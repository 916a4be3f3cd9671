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

/// Endpoint in the platform's list.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Identity of this start, mostly.
    pub id: HostName,
    /// Start of the process; tells two runs under one identity apart.
    pub run: HostIncarnation,
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
    /// Models whose weights lie on its host.
    pub staged: Vec<ModelName>,
    /// Group it is in.
    pub membership: Option<Membership>,
}

/// What an endpoint says of itself when asked.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointReport {
    /// Start of the process.
    pub run: HostIncarnation,
    /// Models whose weights lie on its host.
    pub staged: Vec<ModelName>,
    /// Group it is in.
    pub membership: Option<Membership>,
    /// Factor by which its work takes longer than usual.
    pub pace: f64,
    /// Requests that wait there.
    pub queued: u32,
    /// Requests that run there.
    pub running: u32,
}
