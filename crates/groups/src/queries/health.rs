//! Readiness of groups, with the faults of those that do not serve.
//!
//! Whether a group serves depends on the record and the members' reports only, so
//! any node can determine it without a lease. The result is valid until the first
//! of these reports expires.

use std::collections::BTreeMap;

use base::prelude::*;

use crate::{
    FabricRecord, GroupPhase, GroupRecord, HostAssignment, HostEntry, HostStatus, MemberPhase,
    MemberRecord, TimedReport,
};

/// Last report of every host.
pub type ReportTable = BTreeMap<HostName, TimedReport>;

/// Health of one group at one instant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupHealth {
    /// The group as recorded.
    pub group: GroupRecord,
    /// Whether the group serves, or its faults.
    pub readiness: GroupReadiness,
}

/// Whether a group serves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GroupReadiness {
    /// Every member has a valid report that matches the record.
    Serving {
        /// Instant at which the first of the members' reports expires.
        valid_until: ClockTime,
    },
    /// The group does not serve, for these reasons.
    NotServing(Vec<GroupFault>),
}

/// Why a group does not serve.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GroupFault {
    /// The group completes its running calls and takes no new ones.
    Draining,
    /// The group has no members.
    Empty,
    /// A member does not match the record.
    Member {
        /// Host of the member.
        host: HostName,
        /// Fault of the member.
        fault: MemberFault,
    },
}

/// Fault of a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberFault {
    /// There is no valid report of the host.
    Silent,
    /// The engine has another incarnation than the one recorded.
    Restarted {
        /// Reported incarnation.
        found: HostIncarnation,
    },
    /// The host reports another assignment than the one recorded.
    Misassigned {
        /// Reported assignment; `None` if the host reports no group.
        found: Option<HostAssignment>,
    },
    /// The host is idle or still loading.
    NotReady,
    /// The host reports that it is shutting down.
    Leaving,
}

/// Health of every group, in the order of the records.
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

/// Whether a group serves, or all its faults.
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

/// Instant until which a member is known to match the record, or its fault.
pub(crate) fn check_member(
    group: &GroupRecord,
    rank: usize,
    member: &MemberRecord,
    reports: &ReportTable,
    now: ClockTime,
) -> Result<ClockTime, MemberFault> {
    let valid = reports.get(&member.host).filter(|r| now < r.valid_until);
    let Some(timed) = valid else {
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
/// A gateway sends no new calls to a group with such a member, whatever the
/// record contains.
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

/// Assignment that the member of this rank is expected to report.
pub(crate) fn assignment_of(group: &GroupRecord, rank: usize) -> HostAssignment {
    HostAssignment {
        group: group.group.clone(),
        epoch: group.epoch,
        rank,
    }
}
