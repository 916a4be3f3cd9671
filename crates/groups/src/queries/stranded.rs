//! Hosts that are healthy but belong to no complete group.

use std::collections::{BTreeMap, BTreeSet};

use base::prelude::*;

use super::health::{GroupReadiness, ReportTable, check_group};
use crate::{FabricRecord, GroupFault, HostEntry, HostStatus};

/// Live hosts that answer but belong to no complete group.
///
/// A draining group whose members all answer still finishes calls, so it
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
        .filter(|group| is_complete(&check_group(group, reports, now)))
        .flat_map(|group| group.members.iter().map(|member| &member.host))
        .collect();
    hosts
        .values()
        .filter(|entry| entry.status == HostStatus::Live)
        .map(|entry| &entry.host)
        .filter(|host| reports.get(*host).is_some_and(|r| now < r.valid_until))
        .filter(|host| !used.contains(host))
        .cloned()
        .collect()
}

fn is_complete(readiness: &GroupReadiness) -> bool {
    match readiness {
        GroupReadiness::Serving { .. } => true,
        GroupReadiness::NotServing(faults) => faults.as_slice() == [GroupFault::Draining],
    }
}
