//! Groups that are no longer wanted.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use base::prelude::*;

use super::PlanView;
use crate::{FabricRecord, GroupPhase, GroupRecord};

/// Groups beyond the wanted number, and per deployment at most one group at a time
/// whose size has changed.
pub(crate) fn surplus_groups(view: &PlanView, record: &FabricRecord) -> BTreeSet<GroupName> {
    let mut names: Vec<_> = record
        .groups
        .iter()
        .map(|group| &group.deployment)
        .collect();
    names.sort();
    names.dedup();
    names
        .into_iter()
        .flat_map(|deployment| surplus_of(view, record, deployment))
        .collect()
}

fn surplus_of(
    view: &PlanView,
    record: &FabricRecord,
    deployment: &DeploymentName,
) -> Vec<GroupName> {
    let groups = record.groups.iter();
    let mut groups: Vec<_> = groups.filter(|g| g.deployment == *deployment).collect();
    let Some(desired) = view.desired_groups.get(deployment) else {
        return groups.iter().map(|group| group.group.clone()).collect();
    };
    let resized = |group: &GroupRecord| group.members.len() != desired.spec.group_size;
    groups.sort_by_key(|group| {
        (
            !resized(group),
            !view.is_broken(group),
            group.phase == GroupPhase::Active,
            Reverse(group.group.clone()),
        )
    });
    let extra = groups.len().saturating_sub(desired.groups);
    let next_resized = usize::from(groups.first().is_some_and(|group| resized(group)));
    groups
        .iter()
        .take(extra.max(next_resized))
        .map(|group| group.group.clone())
        .collect()
}
