//! Removal of groups that cannot be repaired, if their members complete others.
//!
//! Merging two broken groups of one deployment into a complete one reduces both
//! downtime and stranded hosts, and its members already have the model loaded.
//! Whether a broken group also gives up its members to another deployment depends
//! on its downtime weight. With a high weight it keeps them, so that it serves
//! again as soon as the missing host returns.

use base::prelude::*;

use super::repair::missing_count;
use super::{HostPool, PlanView};
use crate::{DissolveRule, FabricRecord, GroupPhase, GroupRecord};

/// Removes at most one group whose members are more useful as free hosts.
pub(crate) fn dissolve_groups(view: &PlanView, plan: &mut FabricRecord, pool: &HostPool) {
    let donor = match view.settings.dissolve_rule {
        DissolveRule::ByWeight => {
            merge_donor(view, plan).or_else(|| transfer_donor(view, plan, pool))
        }
        DissolveRule::Always => {
            let last = incomplete_groups(view, plan).pop();
            last.map(|(_, group)| group.group.clone())
        }
        DissolveRule::Never => None,
    };
    if let Some(donor) = donor {
        plan.groups.retain(|group| group.group != donor);
    }
}

/// Active groups with missing members, those with the fewest first.
fn incomplete_groups<'a>(view: &PlanView, plan: &'a FabricRecord) -> Vec<(usize, &'a GroupRecord)> {
    let groups = plan.groups.iter();
    let mut incomplete: Vec<_> = groups
        .filter(|group| group.phase == GroupPhase::Active)
        .map(|group| (missing_count(view, group), group))
        .filter(|(count, _)| *count > 0)
        .collect();
    incomplete.sort_by_key(|(count, group)| (*count, group.group.clone()));
    incomplete
}

/// Broken group whose members can complete another broken group of its deployment.
fn merge_donor(view: &PlanView, plan: &FabricRecord) -> Option<GroupName> {
    let incomplete = incomplete_groups(view, plan);
    incomplete
        .iter()
        .enumerate()
        .rev()
        .find_map(|(index, (count, donor))| {
            let healthy = donor.members.len() - count;
            let fits = |(needed, other): &(usize, &GroupRecord)| {
                other.deployment == donor.deployment && *needed <= healthy
            };
            let helps = incomplete[..index].iter().any(fits);
            helps.then(|| donor.group.clone())
        })
}

/// Broken group whose members, with the free hosts, suffice to form a group of
/// another deployment.
fn transfer_donor(view: &PlanView, plan: &FabricRecord, pool: &HostPool) -> Option<GroupName> {
    let incomplete = incomplete_groups(view, plan);
    incomplete.iter().rev().find_map(|(count, donor)| {
        let is_light = view.weight(&donor.deployment) < view.settings.dissolve_weight;
        let free = pool.len() + donor.members.len() - count;
        let fits = view.desired_groups.values().any(|desired| {
            let existing = count_groups(plan, &desired.deployment);
            desired.deployment != donor.deployment
                && existing < desired.groups
                && desired.spec.group_size <= free
        });
        (is_light && fits).then(|| donor.group.clone())
    })
}

/// Number of groups of a deployment in the plan.
pub(crate) fn count_groups(plan: &FabricRecord, deployment: &DeploymentName) -> usize {
    let groups = plan.groups.iter();
    groups
        .filter(|group| group.deployment == *deployment)
        .count()
}
