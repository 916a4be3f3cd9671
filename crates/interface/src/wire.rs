//! JSON forms of the messages of the platform and the engines.

use std::net::SocketAddr;

use base::prelude::*;
use groups::{HostAssignment, HostOrder, HostReport, LoadReport, MemberPhase};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use store::{ObjectKey, StoredObject};

use crate::{HostEntry, Presence};

/// Object in the platform's store.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ObjectWire {
    /// Key of the object.
    pub key: String,
    /// Version of the object.
    pub version: ObjectVersion,
    /// Value of the object.
    pub value: String,
}

impl From<StoredObject> for ObjectWire {
    fn from(object: StoredObject) -> Self {
        Self {
            key: object.key.as_str().to_owned(),
            version: object.version,
            value: object.value.as_ref().to_owned(),
        }
    }
}

impl From<ObjectWire> for StoredObject {
    fn from(wire: ObjectWire) -> Self {
        Self {
            key: ObjectKey::new(&wire.key),
            version: wire.version,
            value: Arc::from(wire.value),
        }
    }
}

/// Objects whose keys start with a prefix.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ObjectsWire {
    /// The objects, sorted by key.
    pub objects: Vec<ObjectWire>,
}

/// Objects of which each is still to be decoded.
#[derive(Debug, Deserialize)]
pub(crate) struct RawObjectsWire<'a> {
    #[serde(borrow)]
    pub objects: Vec<&'a RawValue>,
}

/// Body of a conditional update.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ChangeWire {
    /// Version that the object must have; zero if it must not exist.
    pub expected: ObjectVersion,
    /// New value of the object.
    pub value: String,
}

/// Result of an update.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct VersionWire {
    /// New version of the object.
    pub version: ObjectVersion,
}

/// The platform's list of hosts.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HostsWire {
    /// All hosts known to the platform.
    pub hosts: Vec<HostWire>,
}

/// Hosts of which each is still to be decoded.
#[derive(Debug, Deserialize)]
pub(crate) struct RawHostsWire<'a> {
    #[serde(borrow)]
    pub hosts: Vec<&'a RawValue>,
}

/// Host in the platform's list.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HostWire {
    /// Name of the host.
    pub host: HostName,
    /// Address of its endpoint.
    pub address: SocketAddr,
    /// Failure domain of the host.
    pub failure_domain: DomainName,
    /// Fabric domain; `None` for hosts without a model engine.
    pub fabric: Option<FabricName>,
    /// Plain service that the host runs; `None` for hosts with a model engine.
    pub service: Option<ServiceName>,
    /// Number of accelerators.
    #[serde(default)]
    pub accelerators: u32,
    /// Whether the host is about to leave.
    #[serde(default)]
    pub leaving: bool,
}

impl From<HostWire> for HostEntry {
    fn from(wire: HostWire) -> Self {
        Self {
            host: wire.host,
            address: wire.address,
            domain: wire.failure_domain,
            fabric: wire.fabric,
            service: wire.service,
            accelerators: wire.accelerators,
            presence: if wire.leaving {
                Presence::Leaving
            } else {
                Presence::Live
            },
        }
    }
}

/// Order to an engine.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct OrderWire {
    /// Group to join; `None` if the engine is to be in no group.
    pub assignment: Option<AssignmentWire>,
    /// Model to load; `None` if the engine keeps the loaded one.
    pub model: Option<ModelName>,
    /// Addresses of all members' engines, ordered by rank.
    pub members: Vec<SocketAddr>,
    /// Incarnation of the engine that the order is for.
    pub incarnation: HostIncarnation,
    /// Fencing token of the sender's lease.
    pub token: FencingToken,
}

impl From<HostOrder> for OrderWire {
    fn from(order: HostOrder) -> Self {
        match order {
            HostOrder::Join(order) => Self {
                assignment: Some(AssignmentWire {
                    group: order.group,
                    epoch: order.epoch,
                    rank: order.rank,
                }),
                model: Some(order.model),
                members: order.members.iter().map(|member| member.address).collect(),
                incarnation: order.incarnation,
                token: order.token,
            },
            HostOrder::Standby {
                model,
                incarnation,
                token,
            } => Self::without_group(Some(model), incarnation, token),
            HostOrder::Idle { incarnation, token } => Self::without_group(None, incarnation, token),
        }
    }
}

impl OrderWire {
    fn without_group(
        model: Option<ModelName>,
        incarnation: HostIncarnation,
        token: FencingToken,
    ) -> Self {
        Self {
            assignment: None,
            model,
            members: Vec::new(),
            incarnation,
            token,
        }
    }
}

/// Assignment of a host to a group.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AssignmentWire {
    /// Name of the group.
    pub group: GroupName,
    /// Generation of the group's membership.
    pub epoch: GroupEpoch,
    /// Rank of the host within the group.
    pub rank: usize,
}

impl From<HostAssignment> for AssignmentWire {
    fn from(assignment: HostAssignment) -> Self {
        Self {
            group: assignment.group,
            epoch: assignment.epoch,
            rank: assignment.rank,
        }
    }
}

impl From<AssignmentWire> for HostAssignment {
    fn from(wire: AssignmentWire) -> Self {
        Self {
            group: wire.group,
            epoch: wire.epoch,
            rank: wire.rank,
        }
    }
}

/// Report of an engine on its state.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReportWire {
    /// Host that reports.
    pub host: HostName,
    /// Incarnation of its engine.
    pub incarnation: HostIncarnation,
    /// Assignment in the last order.
    pub assignment: Option<AssignmentWire>,
    /// Progress with the last order.
    pub phase: PhaseWire,
    /// Model that is loaded or being loaded.
    pub model: Option<ModelName>,
    /// Number of running streams.
    pub running: u32,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Duration of a decoding step in microseconds; zero before the first step.
    #[serde(default)]
    pub step_micros: u32,
}

/// Progress of an engine with its order.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum PhaseWire {
    /// The engine is in no group.
    Idle,
    /// The engine is loading weights.
    Loading,
    /// The engine is ready to serve.
    Ready,
    /// The engine finishes its calls and then leaves.
    Leaving,
}

impl From<PhaseWire> for MemberPhase {
    fn from(wire: PhaseWire) -> Self {
        match wire {
            PhaseWire::Idle => Self::Idle,
            PhaseWire::Loading => Self::Loading,
            PhaseWire::Ready => Self::Ready,
            PhaseWire::Leaving => Self::Leaving,
        }
    }
}

impl From<MemberPhase> for PhaseWire {
    fn from(phase: MemberPhase) -> Self {
        match phase {
            MemberPhase::Idle => Self::Idle,
            MemberPhase::Loading => Self::Loading,
            MemberPhase::Ready => Self::Ready,
            MemberPhase::Leaving => Self::Leaving,
        }
    }
}

impl From<ReportWire> for HostReport {
    fn from(wire: ReportWire) -> Self {
        Self {
            host: wire.host,
            incarnation: wire.incarnation,
            assignment: wire.assignment.map(HostAssignment::from),
            phase: wire.phase.into(),
            model: wire.model,
            load: LoadReport {
                running: wire.running,
                waiting: wire.waiting,
                step_micros: wire.step_micros,
            },
        }
    }
}

impl From<HostReport> for ReportWire {
    fn from(report: HostReport) -> Self {
        Self {
            host: report.host,
            incarnation: report.incarnation,
            assignment: report.assignment.map(AssignmentWire::from),
            phase: report.phase.into(),
            model: report.model,
            running: report.load.running,
            waiting: report.load.waiting,
            step_micros: report.load.step_micros,
        }
    }
}
