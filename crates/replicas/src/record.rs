//! Record of all groups, as kept in the store.

use std::net::SocketAddr;

use base::prelude::*;

/// Phase of a group's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GroupPhase {
    /// Members are joining.
    Forming,
    /// The head accepts requests.
    Serving,
    /// The head finishes its requests because a member is leaving.
    Closing,
}

/// Member of a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberRef {
    /// Identity of the endpoint.
    pub id: HostName,
    /// Start of the endpoint's process that joined.
    pub incarnation: HostIncarnation,
}

/// One group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupEntry {
    /// Name; unique within the record.
    pub name: GroupName,
    /// Service whose requests it serves.
    pub service: ServiceName,
    /// Model that it runs.
    pub model: ModelName,
    /// Epoch of this exact list of members; a new list gets a higher one.
    pub epoch: GroupEpoch,
    /// Members; the first is the head.
    pub members: Vec<MemberRef>,
    /// Address of the head, to which requests are sent.
    pub head_address: SocketAddr,
    /// Phase of its life.
    pub phase: GroupPhase,
}

impl GroupEntry {
    /// Member that accepts the requests.
    pub fn head(&self) -> &MemberRef {
        &self.members[0]
    }
}

/// All groups, and the node that manages them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GroupRecord {
    /// Node that wrote the record last.
    pub owner: Option<NodeName>,
    /// First epoch that no owner has reserved yet.
    pub next_epoch: GroupEpoch,
    /// Groups, in no particular order.
    pub groups: Vec<GroupEntry>,
}

impl GroupRecord {
    /// Whether this record was written after another one or equals it; epochs only grow.
    pub(crate) fn is_ahead_of(&self, other: &Self) -> bool {
        self.latest_epochs() >= other.latest_epochs()
    }

    fn latest_epochs(&self) -> (GroupEpoch, Option<GroupEpoch>) {
        let epochs = self.groups.iter().map(|group| group.epoch);
        (self.next_epoch, epochs.max())
    }
}
