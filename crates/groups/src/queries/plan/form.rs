//! Forming new groups out of free hosts.

use base::prelude::*;

use super::dissolve::count_groups;
use super::{HostPool, PlanView};
use crate::{DesiredGroups, FabricRecord, GroupPhase, GroupRecord, MemberRecord};

/// Forms the groups that the targets still lack, the weightiest first.
pub(crate) fn form_groups(view: &PlanView, plan: &mut FabricRecord, pool: &mut HostPool) {
    let mut targets: Vec<&DesiredGroups> = view.targets.values().collect();
    targets.sort_by(|a, b| b.spec.downtime_weight.total_cmp(&a.spec.downtime_weight));
    for target in targets {
        let size = target.spec.group_size;
        while size > 0
            && count_groups(plan, &target.deployment) < target.groups
            && size <= pool.len()
        {
            let members = (0..size).filter_map(|_| pool.take(&target.spec.model));
            let members = members.collect();
            form_group(plan, target, members);
        }
    }
}

fn form_group(plan: &mut FabricRecord, target: &DesiredGroups, members: Vec<MemberRecord>) {
    plan.formed += 1;
    let name = format!("{}.{}", plan.fabric, plan.formed);
    let Ok(group) = GroupName::new(&name) else {
        return;
    };
    plan.groups.push(GroupRecord {
        group,
        deployment: target.deployment.clone(),
        model: target.spec.model.clone(),
        epoch: GroupEpoch::default().next(),
        phase: GroupPhase::Active,
        members,
    });
}
