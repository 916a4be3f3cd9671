//! Status of a daemon in JSON, as its admin address serves it.

use base::prelude::*;
use document::{ConfigState, RejectedSection, SectionFault};
use groups::{GroupFault, GroupReadiness, MemberFault};
use net::{HistogramKey, HistogramSummary};
use serde::{Deserialize, Serialize};

use crate::nodes::RoleWire;

/// Status of one daemon.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StatusWire {
    /// Node that runs the daemon.
    pub node: NodeName,
    /// Kind of the daemon.
    pub role: RoleWire,
    /// Whether the daemon accepts work.
    pub ready: bool,
    /// Configuration in force.
    pub configuration: ConfigStatusWire,
    /// State of the groups, as observed by the daemon.
    #[serde(default)]
    pub groups: Vec<GroupStatusWire>,
    /// Running and waiting calls by workspace and service.
    #[serde(default)]
    pub limits: Vec<LimitStatusWire>,
    /// Percentiles of the latency histograms.
    #[serde(default)]
    pub histograms: Vec<HistogramWire>,
}

/// Configuration in force in a daemon.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ConfigStatusWire {
    /// Version in force.
    pub version: ObjectVersion,
    /// Newest version known to exist.
    pub floor: ObjectVersion,
    /// Sections that the daemon rejects.
    #[serde(default)]
    pub rejected: Vec<RejectedWire>,
}

/// Section whose newest revision is rejected.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RejectedWire {
    /// Name of the section.
    pub section: SectionName,
    /// Rejected revision; zero if the section was removed.
    pub revision: SectionRevision,
    /// Revision in force instead; `None` if the section is left out.
    pub in_force: Option<SectionRevision>,
    /// Reasons for the rejection.
    pub faults: Vec<FaultWire>,
}

/// Fault in a section.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FaultWire {
    /// Line, counted from one.
    pub line: u64,
    /// Column, counted from one.
    pub column: u64,
    /// What is wrong and what to write instead.
    pub message: String,
}

/// State of a group, as observed by one daemon.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GroupStatusWire {
    /// Name of the group.
    pub group: GroupName,
    /// Generation of the group's membership.
    pub epoch: GroupEpoch,
    /// Whether every member reported in time and the group can serve calls.
    pub serving: bool,
    /// Members that prevent the group from serving, each with the reason.
    #[serde(default)]
    pub missing: Vec<MissingWire>,
}

/// Member that prevents a group from serving.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MissingWire {
    /// Host of the member.
    pub host: HostName,
    /// Reason why the member counts as missing.
    pub reason: Arc<str>,
}

/// Calls of one workspace to one service at one gateway.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LimitStatusWire {
    /// Calling workspace.
    pub workspace: WorkspaceName,
    /// Called service.
    pub service: ServiceName,
    /// Number of running calls.
    pub running: usize,
    /// Number of waiting calls.
    pub waiting: usize,
}

/// Percentiles of one histogram.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HistogramWire {
    /// Workspace whose calls are measured.
    pub workspace: WorkspaceName,
    /// Class of those calls.
    pub class: Arc<str>,
    /// Measured quantity.
    pub measure: Arc<str>,
    /// Number of recorded values.
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
    /// Creates the status of a group from its readiness.
    pub fn new(group: &GroupName, epoch: GroupEpoch, readiness: &GroupReadiness) -> Self {
        let faults: &[GroupFault] = match readiness {
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
