//! Exchanges that can wait until a group has finished its calls.
//!
//! A straggler is replaced
//! only by a host that was not itself replaced as one lately, so that two slow
//! hosts do not trade places for ever.

use std::collections::BTreeSet;

use base::prelude::*;

use super::{HostPool, PlanView};
use crate::{FabricRecord, GroupPhase, GroupRecord, MemberRecord};

/// Whether a member is to be exchanged though it answers.
pub(crate) fn is_planned(view: &PlanView, member: &MemberRecord) -> bool {
    view.is_leaving(&member.host) || view.is_straggler(&member.host)
}

/// Starts to drain surplus groups and those whose exchanges are prepared.
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
            || exchange_is_ready(view, group, pool)
            || upgrade_is_due(view, plan, group);
        if drains {
            plan.groups[index].phase = GroupPhase::Draining;
        }
    }
}

/// Whether a planned exchange may begin.
///
/// A leaving host gets no new work, so its group drains at once while the
/// replacement loads. A straggler's group drains only once loaded replacements
/// are there; they are taken out of the pool, so that no other group counts on
/// them.
fn exchange_is_ready(view: &PlanView, group: &GroupRecord, pool: &mut HostPool) -> bool {
    let members = group.members.iter();
    let planned: Vec<_> = members.filter(|m| is_planned(view, m)).collect();
    let enough = planned.len() <= pool.count_loaded(&group.model);
    let ready = !planned.is_empty() && enough;
    if ready {
        for _ in &planned {
            pool.take_loaded(&group.model);
        }
    }
    ready || planned.iter().any(|m| view.is_leaving(&m.host))
}

/// Whether the group loads an old model and no other group of its deployment
/// is draining.
fn upgrade_is_due(view: &PlanView, plan: &FabricRecord, group: &GroupRecord) -> bool {
    let target = view.targets.get(&group.deployment);
    let outdated = target.is_some_and(|target| target.spec.model != group.model);
    let mut siblings = plan
        .groups
        .iter()
        .filter(|other| other.deployment == group.deployment && other.group != group.group);
    outdated && siblings.all(|other| other.phase == GroupPhase::Active)
}

/// Forgets stragglers that have rested or restarted.
pub(crate) fn forgive_stragglers(view: &PlanView, plan: &mut FabricRecord) {
    plan.stragglers.retain(|known| {
        let report = view.report(&known.host);
        let restarted = report.is_some_and(|report| report.incarnation != known.incarnation);
        !restarted && !view.is_due(view.timers.forgive_at.get(&known.host))
    });
}
