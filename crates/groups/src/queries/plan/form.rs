//! Formation of new groups from free hosts.

use base::prelude::*;

use super::dissolve::count_groups;
use super::{HostPool, PlanView};
use crate::{DesiredGroups, FabricRecord, GroupPhase, GroupRecord, MemberRecord};

/// Forms missing groups, those with the highest downtime weight first.
pub(crate) fn form_groups(view: &PlanView, plan: &mut FabricRecord, pool: &mut HostPool) {
    let mut desired_groups: Vec<&DesiredGroups> = view.desired_groups.values().collect();
    desired_groups.sort_by(|a, b| b.spec.downtime_weight.total_cmp(&a.spec.downtime_weight));
    for desired in desired_groups {
        let size = desired.spec.group_size;
        while size > 0
            && count_groups(plan, &desired.deployment) < desired.groups
            && size <= pool.len()
        {
            let members = (0..size).filter_map(|_| pool.take_soonest(&desired.spec.model));
            let members = members.collect();
            form_group(plan, desired, members);
        }
    }
}

fn form_group(plan: &mut FabricRecord, desired: &DesiredGroups, members: Vec<MemberRecord>) {
    plan.groups_formed += 1;
    let name = format!("{}.{}", plan.fabric, plan.groups_formed);
    let Ok(group) = GroupName::new(&name) else {
        return;
    };
    plan.groups.push(GroupRecord {
        group,
        deployment: desired.deployment.clone(),
        model: desired.spec.model.clone(),
        epoch: GroupEpoch::default().next(),
        phase: GroupPhase::Active,
        members,
    });
}
