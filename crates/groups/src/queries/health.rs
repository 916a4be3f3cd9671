//! Which groups serve, and why the others do not.
//!
//! Serving needs no lease: it is an observation that any node makes from the
//! record and the members' own reports, and that ends with the first report's
//! deadline.

use std::collections::BTreeMap;

use base::prelude::*;

use crate::{
    FabricRecord, GroupPhase, GroupRecord, HostAssignment, HostEntry, HostStatus, MemberPhase,
    MemberRecord, TimedReport,
};

/// Reports by host, with the deadlines of their validity.
pub type ReportTable = BTreeMap<HostName, TimedReport>;

/// Health of one group as seen at one instant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupHealth {
    /// The group as recorded.
    pub group: GroupRecord,
    /// Whether it serves.
    pub readiness: GroupReadiness,
}

/// Whether a group serves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GroupReadiness {
    /// Every member answered as expected.
    Serving {
        /// Instant from which this is no longer proven.
        valid_until: ClockTime,
    },
    /// Something is missing.
    NotServing(Vec<GroupFault>),
}

/// Why a group does not serve.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GroupFault {
    /// It finishes its calls and takes no new ones.
    Draining,
    /// It has no members.
    Empty,
    /// A member is not as the record wants it.
    Member {
        /// Its host.
        host: HostName,
        /// What is wrong.
        fault: MemberFault,
    },
}

/// What is wrong with a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberFault {
    /// It has not answered within the validity of a report.
    Silent,
    /// Its engine is another run than the one put into the group.
    Restarted {
        /// Run that answered.
        found: HostIncarnation,
    },
    /// It says that it belongs elsewhere.
    Misassigned {
        /// Where it says it belongs.
        found: Option<HostAssignment>,
    },
    /// It is still loading.
    NotReady,
    /// It says that it is about to go.
    Leaving,
}

/// Health of every group in the records, in their order.
pub fn check_groups<'a>(
    records: impl IntoIterator<Item = &'a FabricRecord>,
    reports: &ReportTable,
    now: ClockTime,
) -> Vec<GroupHealth> {
    records
        .into_iter()
        .flat_map(|record| &record.groups)
        .map(|group| GroupHealth {
            group: group.clone(),
            readiness: check_group(group, reports, now),
        })
        .collect()
}

/// Whether a group serves, or everything that keeps it from serving.
pub fn check_group(group: &GroupRecord, reports: &ReportTable, now: ClockTime) -> GroupReadiness {
    let mut faults = Vec::new();
    if group.phase == GroupPhase::Draining {
        faults.push(GroupFault::Draining);
    }
    if group.members.is_empty() {
        faults.push(GroupFault::Empty);
    }
    let mut deadline = ClockTime(u64::MAX);
    for (rank, member) in group.members.iter().enumerate() {
        match check_member(group, rank, member, reports, now) {
            Ok(valid_until) => deadline = deadline.min(valid_until),
            Err(fault) => faults.push(GroupFault::Member {
                host: member.host.clone(),
                fault,
            }),
        }
    }
    if faults.is_empty() {
        GroupReadiness::Serving {
            valid_until: deadline,
        }
    } else {
        GroupReadiness::NotServing(faults)
    }
}

/// Deadline of a member's proof that it takes its place, or what is wrong.
pub(crate) fn check_member(
    group: &GroupRecord,
    rank: usize,
    member: &MemberRecord,
    reports: &ReportTable,
    now: ClockTime,
) -> Result<ClockTime, MemberFault> {
    let fresh = reports.get(&member.host).filter(|r| now < r.valid_until);
    let Some(timed) = fresh else {
        return Err(MemberFault::Silent);
    };
    let report = &timed.report;
    if report.incarnation != member.incarnation {
        let found = report.incarnation;
        return Err(MemberFault::Restarted { found });
    }
    if report.assignment.as_ref() != Some(&assignment_of(group, rank)) {
        let found = report.assignment.clone();
        return Err(MemberFault::Misassigned { found });
    }
    match report.phase {
        MemberPhase::Ready => Ok(timed.valid_until),
        MemberPhase::Leaving => Err(MemberFault::Leaving),
        MemberPhase::Idle | MemberPhase::Loading => Err(MemberFault::NotReady),
    }
}

/// Members that the platform lists as leaving.
///
/// A gateway gives such a group no new work, whatever the record says.
pub fn leaving_members(
    group: &GroupRecord,
    hosts: &BTreeMap<HostName, HostEntry>,
) -> Vec<HostName> {
    let leaving = |host: &HostName| {
        let entry = hosts.get(host);
        entry.is_some_and(|entry| entry.status == HostStatus::Leaving)
    };
    let members = group.members.iter().map(|member| &member.host);
    members.filter(|host| leaving(host)).cloned().collect()
}

/// Assignment that the member of this rank should report.
pub(crate) fn assignment_of(group: &GroupRecord, rank: usize) -> HostAssignment {
    HostAssignment {
        group: group.group.clone(),
        epoch: group.epoch,
        rank,
    }
}
