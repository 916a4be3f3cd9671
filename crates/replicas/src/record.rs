//! The record of all groups.

use std::net::SocketAddr;

use base::prelude::*;

/// How far a group is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GroupPhase {
    /// Its members are joining.
    Forming,
    /// Its head takes requests.
    Serving,
    /// Its head finishes what it has, because a member is leaving.
    Closing,
}

/// Member of a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberRef {
    /// Endpoint.
    pub id: HostName,
    /// Run of that endpoint that joined.
    pub incarnation: HostIncarnation,
}

/// One group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupEntry {
    /// Name.
    pub name: GroupName,
    /// Service whose requests it takes.
    pub service: ServiceName,
    /// Model it runs.
    pub model: ModelName,
    /// Generation of this exact list of members.
    pub epoch: GroupEpoch,
    /// Members, the head first.
    pub members: Vec<MemberRef>,
    /// Where requests go.
    pub head_address: SocketAddr,
    /// How far it is.
    pub phase: GroupPhase,
}

impl GroupEntry {
    /// Member that takes the requests.
    pub fn head(&self) -> &MemberRef {
        &self.members[0]
    }
}

/// All groups, and the node that forms them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GroupRecord {
    /// Node that wrote it last.
    pub owner: Option<NodeName>,
    /// First epoch that is free for the next owner.
    pub next_epoch: GroupEpoch,
    /// Groups.
    pub groups: Vec<GroupEntry>,
}
