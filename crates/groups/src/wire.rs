//! Stored form of a fabric domain.

use std::net::SocketAddr;

use base::prelude::*;
use serde::{Deserialize, Serialize};

use crate::{
    FabricRecord, GroupPhase, GroupRecord, MemberRecord, OwnerLease, StandbyRecord, StragglerRecord,
};

/// JSON form of a [`FabricRecord`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FabricWire {
    fabric: FabricName,
    lease: Option<LeaseWire>,
    token: FencingToken,
    #[serde(default)]
    era: u64,
    groups: Vec<GroupWire>,
    #[serde(default)]
    formed: u64,
    #[serde(default)]
    standbys: Vec<StandbyWire>,
    #[serde(default)]
    stragglers: Vec<StragglerWire>,
    nonce: WriteNonce,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct LeaseWire {
    holder: NodeName,
    process: u64,
    renewals: u64,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct GroupWire {
    group: GroupName,
    deployment: DeploymentName,
    model: ModelName,
    epoch: GroupEpoch,
    draining: bool,
    members: Vec<MemberWire>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct MemberWire {
    host: HostName,
    address: SocketAddr,
    incarnation: HostIncarnation,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct StandbyWire {
    member: MemberWire,
    deployment: DeploymentName,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct StragglerWire {
    host: HostName,
    incarnation: HostIncarnation,
}

impl From<FabricRecord> for FabricWire {
    fn from(record: FabricRecord) -> Self {
        Self {
            fabric: record.fabric,
            lease: record.lease.map(LeaseWire::from),
            token: record.token,
            era: record.era,
            groups: record.groups.into_iter().map(GroupWire::from).collect(),
            formed: record.groups_formed,
            standbys: record.standbys.into_iter().map(StandbyWire::from).collect(),
            stragglers: record
                .stragglers
                .into_iter()
                .map(StragglerWire::from)
                .collect(),
            nonce: record.nonce,
        }
    }
}

impl From<FabricWire> for FabricRecord {
    fn from(wire: FabricWire) -> Self {
        Self {
            fabric: wire.fabric,
            lease: wire.lease.map(OwnerLease::from),
            token: wire.token,
            era: wire.era,
            groups: wire.groups.into_iter().map(GroupRecord::from).collect(),
            groups_formed: wire.formed,
            standbys: wire.standbys.into_iter().map(StandbyRecord::from).collect(),
            stragglers: wire
                .stragglers
                .into_iter()
                .map(StragglerRecord::from)
                .collect(),
            nonce: wire.nonce,
        }
    }
}

impl From<OwnerLease> for LeaseWire {
    fn from(lease: OwnerLease) -> Self {
        Self {
            holder: lease.holder,
            process: lease.process,
            renewals: lease.renewals,
        }
    }
}

impl From<LeaseWire> for OwnerLease {
    fn from(wire: LeaseWire) -> Self {
        Self {
            holder: wire.holder,
            process: wire.process,
            renewals: wire.renewals,
        }
    }
}

impl From<GroupRecord> for GroupWire {
    fn from(group: GroupRecord) -> Self {
        Self {
            group: group.group,
            deployment: group.deployment,
            model: group.model,
            epoch: group.epoch,
            draining: group.phase == GroupPhase::Draining,
            members: group.members.into_iter().map(MemberWire::from).collect(),
        }
    }
}

impl From<GroupWire> for GroupRecord {
    fn from(wire: GroupWire) -> Self {
        let phase = if wire.draining {
            GroupPhase::Draining
        } else {
            GroupPhase::Active
        };
        Self {
            group: wire.group,
            deployment: wire.deployment,
            model: wire.model,
            epoch: wire.epoch,
            phase,
            members: wire.members.into_iter().map(MemberRecord::from).collect(),
        }
    }
}

impl From<MemberRecord> for MemberWire {
    fn from(member: MemberRecord) -> Self {
        Self {
            host: member.host,
            address: member.address,
            incarnation: member.incarnation,
        }
    }
}

impl From<MemberWire> for MemberRecord {
    fn from(wire: MemberWire) -> Self {
        Self {
            host: wire.host,
            address: wire.address,
            incarnation: wire.incarnation,
        }
    }
}

impl From<StandbyRecord> for StandbyWire {
    fn from(standby: StandbyRecord) -> Self {
        Self {
            member: standby.member.into(),
            deployment: standby.deployment,
        }
    }
}

impl From<StandbyWire> for StandbyRecord {
    fn from(wire: StandbyWire) -> Self {
        Self {
            member: wire.member.into(),
            deployment: wire.deployment,
        }
    }
}

impl From<StragglerRecord> for StragglerWire {
    fn from(straggler: StragglerRecord) -> Self {
        Self {
            host: straggler.host,
            incarnation: straggler.incarnation,
        }
    }
}

impl From<StragglerWire> for StragglerRecord {
    fn from(wire: StragglerWire) -> Self {
        Self {
            host: wire.host,
            incarnation: wire.incarnation,
        }
    }
}
