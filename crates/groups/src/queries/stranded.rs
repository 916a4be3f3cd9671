//! Stranded hosts: healthy ones that belong to no complete group.

use std::collections::{BTreeMap, BTreeSet};

use base::prelude::*;

use super::health::{GroupVerdict, ReportTable, explain_group};
use crate::{FabricRecord, GroupFault, HostEntry, HostStanding};

/// Live hosts with a valid report that belong to no complete group.
///
/// A draining group without other faults still completes its calls and
/// counts as complete.
pub fn stranded_hosts(
    record: &FabricRecord,
    hosts: &BTreeMap<HostName, HostEntry>,
    reports: &ReportTable,
    now: ClockTime,
) -> Vec<HostName> {
    let used: BTreeSet<&HostName> = record
        .groups
        .iter()
        .filter(|group| is_complete(&explain_group(group, reports, now)))
        .flat_map(|group| group.members.iter().map(|member| &member.host))
        .collect();
    hosts
        .values()
        .filter(|entry| entry.standing == HostStanding::Live)
        .map(|entry| &entry.host)
        .filter(|host| reports.get(*host).is_some_and(|r| now < r.valid_until))
        .filter(|host| !used.contains(host))
        .cloned()
        .collect()
}

fn is_complete(verdict: &GroupVerdict) -> bool {
    match verdict {
        GroupVerdict::Serving { .. } => true,
        GroupVerdict::NotServing(faults) => faults.as_slice() == [GroupFault::Draining],
    }
}
