//! Stored form of the record.

use base::prelude::*;
use serde::{Deserialize, Serialize};

use crate::{GroupEntry, GroupPhase, GroupRecord, MemberRef};

/// Why a stored record is none.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// A group has no members.
    #[error("group {0} has no members: remove the record, it is written anew")]
    Empty(GroupName),
    /// The head's address can't be read.
    #[error("group {0} has the address {1:?}: write it as ip:port")]
    Address(GroupName, String),
}

/// Stored form of a [`GroupRecord`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RecordWire {
    owner: Option<NodeName>,
    next_epoch: GroupEpoch,
    groups: Vec<GroupWire>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct GroupWire {
    name: GroupName,
    service: ServiceName,
    model: ModelName,
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
            owner: record.owner.clone(),
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
            service: group.service.clone(),
            model: group.model.clone(),
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
        let groups = wire.groups.into_iter().map(GroupEntry::try_from);
        Ok(Self {
            owner: wire.owner,
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
            service: wire.service,
            model: wire.model,
            epoch: wire.epoch,
            members: members
                .map(|(id, run)| MemberRef {
                    id,
                    incarnation: run,
                })
                .collect(),
            head_address,
            phase: wire.phase.into(),
        })
    }
}
