//! Drained groups: they are rebuilt or removed.

use std::collections::BTreeSet;

use base::prelude::*;

use super::drain::needs_replacement;
use super::{HostPool, PlanView};
use crate::{FabricRecord, GroupPhase, GroupRecord, MemberRecord, StragglerRecord};

/// Rebuilds every drained group that is not surplus and removes the others.
pub(crate) fn close_groups(
    view: &PlanView,
    plan: &mut FabricRecord,
    pool: &mut HostPool,
    surplus: &BTreeSet<GroupName>,
) {
    let groups = std::mem::take(&mut plan.groups);
    for group in groups {
        let keeps_draining = group.phase == GroupPhase::Draining && !view.is_drained(&group);
        if group.phase == GroupPhase::Active || keeps_draining {
            plan.groups.push(group);
        } else if !surplus.contains(&group.group) {
            let stragglers = &mut plan.stragglers;
            plan.groups
                .extend(rebuild_group(view, group, pool, stragglers));
        }
    }
}

/// The group with its planned replacements; `None` if it has to be removed.
fn rebuild_group(
    view: &PlanView,
    mut group: GroupRecord,
    pool: &mut HostPool,
    stragglers: &mut Vec<StragglerRecord>,
) -> Option<GroupRecord> {
    let desired = view.desired_groups.get(&group.deployment)?;
    group.model = desired.spec.model.clone();
    for member in &mut group.members {
        if !needs_replacement(view, member) {
            continue;
        }
        match pool.take_loaded(&group.model) {
            Some(free) => replace_member(view, member, free, stragglers),
            None if view.is_leaving(&member.host) => {
                *member = pool.take_soonest(&group.model)?;
            }
            None => {}
        }
    }
    group.epoch = group.epoch.next();
    group.phase = GroupPhase::Active;
    Some(group)
}

fn replace_member(
    view: &PlanView,
    member: &mut MemberRecord,
    free: MemberRecord,
    stragglers: &mut Vec<StragglerRecord>,
) {
    if view.is_straggler(&member.host) {
        stragglers.retain(|straggler| straggler.host != member.host);
        stragglers.push(StragglerRecord {
            host: member.host.clone(),
            incarnation: member.incarnation,
        });
    }
    *member = free;
}
