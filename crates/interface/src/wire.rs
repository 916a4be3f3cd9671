//! JSON forms of the platform's and the engines' messages.

use std::net::SocketAddr;

use base::prelude::*;
use groups::{HostAssignment, HostOrder, HostReport, LoadReport, MemberPhase};
use serde::{Deserialize, Serialize};
use store::{ObjectKey, StoredObject};

use crate::{HostEntry, Presence};

/// Object as the platform sends it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ObjectWire {
    /// Its key.
    pub key: String,
    /// Its version.
    pub version: ObjectVersion,
    /// Its value.
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

/// Objects under a prefix.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ObjectsWire {
    /// In the order of their keys.
    pub objects: Vec<ObjectWire>,
}

/// Body of a conditional update.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ChangeWire {
    /// Version the object must still have; zero if it must not exist.
    pub expected: ObjectVersion,
    /// New value.
    pub value: String,
}

/// Version that an update made.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct VersionWire {
    /// The new version.
    pub version: ObjectVersion,
}

/// The platform's list of hosts.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HostsWire {
    /// Every host it knows of.
    pub hosts: Vec<HostWire>,
}

/// Host as the platform lists it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HostWire {
    /// Its name.
    pub host: HostName,
    /// Where its endpoint listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub failure_domain: DomainName,
    /// Its fabric domain; only hosts with engines have one.
    pub fabric: Option<FabricName>,
    /// Plain service that it runs; only hosts without engines have one.
    pub service: Option<ServiceName>,
    /// Accelerators that it has.
    #[serde(default)]
    pub accelerators: u32,
    /// Whether it is about to leave.
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
    /// Group to join; without one the engine belongs to none.
    pub assignment: Option<AssignmentWire>,
    /// Model to load; without one the engine keeps what it has.
    pub model: Option<ModelName>,
    /// Engines of all members by rank.
    pub members: Vec<SocketAddr>,
    /// Run of the engine that is meant.
    pub incarnation: HostIncarnation,
    /// Fencing token of the orderer's lease.
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
            } => Self::outside(Some(model), incarnation, token),
            HostOrder::Idle { incarnation, token } => Self::outside(None, incarnation, token),
        }
    }
}

impl OrderWire {
    fn outside(
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

/// Place of a host in a group.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AssignmentWire {
    /// The group.
    pub group: GroupName,
    /// Generation of the group.
    pub epoch: GroupEpoch,
    /// Rank within the group.
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

/// What an engine says of itself.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReportWire {
    /// Host that reports.
    pub host: HostName,
    /// Run of its engine.
    pub incarnation: HostIncarnation,
    /// Group it was last ordered into.
    pub assignment: Option<AssignmentWire>,
    /// How far it is.
    pub phase: PhaseWire,
    /// Model that it has loaded or is loading.
    pub model: Option<ModelName>,
    /// Streams running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Time of one decoding step in microseconds; zero while none has run.
    #[serde(default)]
    pub step_micros: u32,
}

/// How far an engine is with its order.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum PhaseWire {
    /// In no group.
    Idle,
    /// Loading weights.
    Loading,
    /// Ready to serve.
    Ready,
    /// Finishes its calls and goes.
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
