//! What a daemon says of itself on its admin address, as JSON.

use base::prelude::*;
use document::{ConfigState, RejectedSection, SectionFault};
use groups::{GroupFault, GroupReadiness, MemberFault};
use net::{HistogramKey, HistogramSummary};
use serde::{Deserialize, Serialize};

use crate::nodes::RoleWire;

/// Status of one daemon.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StatusWire {
    /// Its node.
    pub node: NodeName,
    /// Which daemon it is.
    pub role: RoleWire,
    /// Whether it takes work.
    pub ready: bool,
    /// Its configuration.
    pub configuration: ConfigStatusWire,
    /// Groups as it sees them.
    #[serde(default)]
    pub groups: Vec<GroupStatusWire>,
    /// Calls of each workspace at each service.
    #[serde(default)]
    pub limits: Vec<LimitStatusWire>,
    /// Percentiles of its histograms.
    #[serde(default)]
    pub histograms: Vec<HistogramWire>,
}

/// Configuration in force in one daemon.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ConfigStatusWire {
    /// Version in force.
    pub version: ObjectVersion,
    /// Newest version that it knows to exist.
    pub floor: ObjectVersion,
    /// Sections that it holds back.
    #[serde(default)]
    pub rejected: Vec<RejectedWire>,
}

/// Section that is held back.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RejectedWire {
    /// Its name.
    pub section: SectionName,
    /// Revision held back; zero if the section was removed.
    pub revision: SectionRevision,
    /// Revision in force instead.
    pub in_force: Option<SectionRevision>,
    /// Why it is held back.
    pub faults: Vec<FaultWire>,
}

/// Fault of a section.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FaultWire {
    /// Line, counted from one.
    pub line: u64,
    /// Column, counted from one.
    pub column: u64,
    /// What is wrong and what to write instead.
    pub message: String,
}

/// Group as one daemon sees it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GroupStatusWire {
    /// The group.
    pub group: GroupName,
    /// Generation of its membership.
    pub epoch: GroupEpoch,
    /// Whether every member answered in time and the group may take calls.
    pub serving: bool,
    /// Members that keep it from serving, each with the reason.
    #[serde(default)]
    pub missing: Vec<MissingWire>,
}

/// Member that keeps a group from serving.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MissingWire {
    /// Its host.
    pub host: HostName,
    /// Why it counts as missing.
    pub reason: Arc<str>,
}

/// Calls of one workspace at one service of one gateway.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LimitStatusWire {
    /// Workspace that calls.
    pub workspace: WorkspaceName,
    /// Service that is called.
    pub service: ServiceName,
    /// Calls running.
    pub running: usize,
    /// Calls waiting.
    pub waiting: usize,
}

/// Percentiles of one histogram.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HistogramWire {
    /// Workspace whose calls it counts.
    pub workspace: WorkspaceName,
    /// Class of those calls.
    pub class: Arc<str>,
    /// Quantity measured.
    pub measure: Arc<str>,
    /// Values recorded.
    pub count: u64,
    /// Median in microseconds.
    pub p50_us: u64,
    /// 95th percentile in microseconds.
    pub p95_us: u64,
    /// 99th percentile in microseconds.
    pub p99_us: u64,
    /// Largest value in microseconds.
    pub max_us: u64,
}

impl From<&ConfigState> for ConfigStatusWire {
    fn from(state: &ConfigState) -> Self {
        let rejected = state.in_force.rejected.iter();
        Self {
            version: state.in_force.version,
            floor: state.floor,
            rejected: rejected.map(RejectedWire::from).collect(),
        }
    }
}

impl GroupStatusWire {
    /// Status of a group as its verdict has it.
    pub fn new(group: &GroupName, epoch: GroupEpoch, verdict: &GroupReadiness) -> Self {
        let faults: &[GroupFault] = match verdict {
            GroupReadiness::Serving { .. } => &[],
            GroupReadiness::NotServing(faults) => faults,
        };
        Self {
            group: group.clone(),
            epoch,
            serving: faults.is_empty(),
            missing: faults.iter().filter_map(MissingWire::new).collect(),
        }
    }
}

impl MissingWire {
    fn new(fault: &GroupFault) -> Option<Self> {
        let GroupFault::Member { host, fault } = fault else {
            return None;
        };
        let reason = match fault {
            MemberFault::Silent => "silent",
            MemberFault::Restarted { .. } => "restarted",
            MemberFault::Misassigned { .. } => "in no group or another one",
            MemberFault::NotReady => "loading",
            MemberFault::Leaving => "leaving",
        };
        Some(Self {
            host: host.clone(),
            reason: Arc::from(reason),
        })
    }
}

impl From<&RejectedSection> for RejectedWire {
    fn from(rejected: &RejectedSection) -> Self {
        Self {
            section: rejected.section.clone(),
            revision: rejected.revision,
            in_force: rejected.in_force,
            faults: rejected.faults.iter().map(FaultWire::from).collect(),
        }
    }
}

impl From<&SectionFault> for FaultWire {
    fn from(fault: &SectionFault) -> Self {
        Self {
            line: fault.position.line,
            column: fault.position.column,
            message: fault.error.to_string(),
        }
    }
}

impl From<(&HistogramKey, HistogramSummary)> for HistogramWire {
    fn from((key, summary): (&HistogramKey, HistogramSummary)) -> Self {
        Self {
            workspace: key.workspace.clone(),
            class: Arc::clone(&key.class),
            measure: Arc::from(key.measure),
            count: summary.count,
            p50_us: summary.p50,
            p95_us: summary.p95,
            p99_us: summary.p99,
            max_us: summary.max,
        }
    }
}
