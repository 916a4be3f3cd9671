//! Replacements that can wait until a group has completed its calls.
//!
//! A straggler is replaced only by a host that was not itself recently replaced
//! as a straggler. Otherwise two slow hosts would replace each other for ever.

use std::collections::BTreeSet;

use base::prelude::*;

use super::{HostPool, PlanView};
use crate::{FabricRecord, GroupPhase, GroupRecord, MemberRecord};

/// Whether a member is to be replaced although it is present.
pub(crate) fn needs_replacement(view: &PlanView, member: &MemberRecord) -> bool {
    view.is_leaving(&member.host) || view.is_straggler(&member.host)
}

/// Starts to drain surplus groups and those whose replacements are ready.
pub(crate) fn drain_groups(
    view: &PlanView,
    plan: &mut FabricRecord,
    pool: &mut HostPool,
    surplus: &BTreeSet<GroupName>,
) {
    for index in 0..plan.groups.len() {
        let group = &plan.groups[index];
        if group.phase == GroupPhase::Draining {
            continue;
        }
        let drains = surplus.contains(&group.group)
            || replacement_is_ready(view, group, pool)
            || upgrade_is_due(view, plan, group);
        if drains {
            plan.groups[index].phase = GroupPhase::Draining;
        }
    }
}

/// Whether the group may drain for the replacement of members.
///
/// A leaving host gets no new calls, so its group drains at once while the
/// replacement loads. A straggler's group drains only when enough free hosts have
/// its model loaded. They are removed from the pool, so that they are not counted
/// for another group.
fn replacement_is_ready(view: &PlanView, group: &GroupRecord, pool: &mut HostPool) -> bool {
    let members = group.members.iter();
    let replaced: Vec<_> = members.filter(|m| needs_replacement(view, m)).collect();
    let enough = replaced.len() <= pool.count_loaded(&group.model);
    let ready = !replaced.is_empty() && enough;
    if ready {
        for _ in &replaced {
            pool.take_loaded(&group.model);
        }
    }
    ready || replaced.iter().any(|m| view.is_leaving(&m.host))
}

/// Whether the group has an old model and no other group of its deployment is
/// draining.
fn upgrade_is_due(view: &PlanView, plan: &FabricRecord, group: &GroupRecord) -> bool {
    let desired = view.desired_groups.get(&group.deployment);
    let outdated = desired.is_some_and(|desired| desired.spec.model != group.model);
    let mut siblings = plan
        .groups
        .iter()
        .filter(|other| other.deployment == group.deployment && other.group != group.group);
    outdated && siblings.all(|other| other.phase == GroupPhase::Active)
}

/// Removes stragglers whose cooldown has ended or whose engine has restarted.
pub(crate) fn expire_stragglers(view: &PlanView, plan: &mut FabricRecord) {
    plan.stragglers.retain(|straggler| {
        let report = view.report(&straggler.host);
        let restarted = report.is_some_and(|report| report.incarnation != straggler.incarnation);
        !restarted && !view.is_due(view.timers.straggler_expires_at.get(&straggler.host))
    });
}
