//! Standby hosts: free hosts that preload the model they will most likely need.

use base::prelude::*;

use super::{HostPool, PlanView};
use crate::{FabricRecord, StandbyRecord};

/// Lower bound of a deployment's downtime weight when spares are assigned, so that
/// a deployment of weight zero gets spares too.
const MIN_WEIGHT: f64 = 0.01;

/// Removes standbys that are in a group or no longer usable, and assigns a
/// deployment's model to every other free host.
pub(crate) fn update_standbys(view: &PlanView, plan: &mut FabricRecord, pool: &HostPool) {
    let used = plan.member_hosts();
    let kept: Vec<_> = plan
        .standbys
        .iter()
        .filter(|standby| !used.contains(&standby.member.host) && is_kept(view, standby))
        .cloned()
        .collect();
    plan.standbys = kept;
    if !view.settings.preload_spares {
        return;
    }
    for free in pool.hosts() {
        let host = &free.member.host;
        if plan.standbys.iter().any(|s| s.member.host == *host) {
            continue;
        }
        if let Some(deployment) = most_needed(view, plan) {
            plan.standbys.push(StandbyRecord {
                member: free.member.clone(),
                deployment,
            });
        }
    }
}

fn is_kept(view: &PlanView, standby: &StandbyRecord) -> bool {
    let member = &standby.member;
    let report = view.report(&member.host);
    view.desired_groups.contains_key(&standby.deployment)
        && view.is_live(&member.host)
        && report.is_some_and(|report| report.incarnation == member.incarnation)
}

/// Deployment with the fewest standbys relative to its groups and downtime weight.
fn most_needed(view: &PlanView, plan: &FabricRecord) -> Option<DeploymentName> {
    let need = |deployment: &DeploymentName| {
        let groups = plan.groups.iter().filter(|g| g.deployment == *deployment);
        let standbys = plan.standbys.iter().filter(|s| s.deployment == *deployment);
        let weight = view.weight(deployment).max(MIN_WEIGHT);
        weight * groups.count() as f64 / (standbys.count() + 1) as f64
    };
    let names = view.desired_groups.keys();
    let names = names.map(|deployment| (need(deployment), deployment));
    names
        .filter(|(need, _)| *need > 0.0)
        .max_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, deployment)| deployment.clone())
}
