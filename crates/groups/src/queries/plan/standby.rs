//! Keeping free hosts loaded with what they will most likely be needed for.

use base::prelude::*;

use super::{HostPool, PlanView};
use crate::{FabricRecord, StandbyRecord};

/// Least weight with which a deployment asks for loaded spares.
const WEIGHT_FLOOR: f64 = 0.01;

/// Drops standbys that are no longer free and gives every free host a model.
pub(crate) fn keep_standbys(view: &PlanView, plan: &mut FabricRecord, pool: &HostPool) {
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
        if let Some(deployment) = neediest(view, plan) {
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
    view.targets.contains_key(&standby.deployment)
        && view.is_live(&member.host)
        && report.is_some_and(|report| report.incarnation == member.incarnation)
}

/// Deployment whose groups have the fewest loaded spares for their weight.
fn neediest(view: &PlanView, plan: &FabricRecord) -> Option<DeploymentName> {
    let need = |deployment: &DeploymentName| {
        let groups = plan.groups.iter().filter(|g| g.deployment == *deployment);
        let standbys = plan.standbys.iter().filter(|s| s.deployment == *deployment);
        let weight = view.weight(deployment).max(WEIGHT_FLOOR);
        weight * groups.count() as f64 / (standbys.count() + 1) as f64
    };
    let names = view.targets.keys();
    let names = names.map(|deployment| (need(deployment), deployment));
    names
        .filter(|(need, _)| *need > 0.0)
        .max_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, deployment)| deployment.clone())
}
