//! Stored form of the group record.

use base::prelude::*;
use serde::{Deserialize, Serialize};

use crate::{GroupEntry, GroupPhase, GroupRecord, MemberRef};

/// Fault in a stored record.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// A group has no members.
    #[error("group {0} has no members: remove the stored group record, it is written anew")]
    Empty(GroupName),
    /// The head's address can't be parsed.
    #[error("group {0} has an invalid head address {1:?}: expected ip:port")]
    Address(GroupName, String),
    /// A name is empty.
    #[error(transparent)]
    Name(#[from] NameError),
}

/// Stored form of a [`GroupRecord`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RecordWire {
    owner: Option<String>,
    next_epoch: GroupEpoch,
    groups: Vec<GroupWire>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct GroupWire {
    name: GroupName,
    service: String,
    model: String,
    epoch: GroupEpoch,
    members: Vec<(HostName, HostIncarnation)>,
    head_address: String,
    phase: PhaseWire,
}

#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
enum PhaseWire {
    Forming,
    Serving,
    Closing,
}

impl From<GroupPhase> for PhaseWire {
    fn from(phase: GroupPhase) -> Self {
        match phase {
            GroupPhase::Forming => Self::Forming,
            GroupPhase::Serving => Self::Serving,
            GroupPhase::Closing => Self::Closing,
        }
    }
}

impl From<PhaseWire> for GroupPhase {
    fn from(phase: PhaseWire) -> Self {
        match phase {
            PhaseWire::Forming => Self::Forming,
            PhaseWire::Serving => Self::Serving,
            PhaseWire::Closing => Self::Closing,
        }
    }
}

impl From<&GroupRecord> for RecordWire {
    fn from(record: &GroupRecord) -> Self {
        Self {
            owner: record.owner.as_ref().map(NodeName::to_string),
            next_epoch: record.next_epoch,
            groups: record.groups.iter().map(GroupWire::from).collect(),
        }
    }
}

impl From<&GroupEntry> for GroupWire {
    fn from(group: &GroupEntry) -> Self {
        let members = group.members.iter();
        Self {
            name: group.name.clone(),
            service: group.service.to_string(),
            model: group.model.to_string(),
            epoch: group.epoch,
            members: members
                .map(|member| (member.id.clone(), member.incarnation))
                .collect(),
            head_address: group.head_address.to_string(),
            phase: group.phase.into(),
        }
    }
}

impl TryFrom<RecordWire> for GroupRecord {
    type Error = RecordError;

    fn try_from(wire: RecordWire) -> Result<Self, RecordError> {
        let owner = wire.owner.as_deref().map(NodeName::external);
        let groups = wire.groups.into_iter().map(GroupEntry::try_from);
        Ok(Self {
            owner: owner.transpose()?,
            next_epoch: wire.next_epoch,
            groups: groups.collect::<Result<_, _>>()?,
        })
    }
}

impl TryFrom<GroupWire> for GroupEntry {
    type Error = RecordError;

    fn try_from(wire: GroupWire) -> Result<Self, RecordError> {
        if wire.members.is_empty() {
            return Err(RecordError::Empty(wire.name));
        }
        let Ok(head_address) = wire.head_address.parse() else {
            return Err(RecordError::Address(wire.name, wire.head_address));
        };
        let members = wire.members.into_iter();
        Ok(Self {
            name: wire.name,
            service: ServiceName::external(&wire.service)?,
            model: ModelName::external(&wire.model)?,
            epoch: wire.epoch,
            members: members
                .map(|(id, incarnation)| MemberRef { id, incarnation })
                .collect(),
            head_address,
            phase: wire.phase.into(),
        })
    }
}
