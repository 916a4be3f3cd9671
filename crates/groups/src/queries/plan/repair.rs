//! Replacement of members that are missing or have restarted.

use super::view::MemberPresence;
use super::{HostPool, PlanView};
use crate::{DissolveRule, FabricRecord, GroupPhase, GroupRecord, MemberRecord};

/// Repairs broken groups that are not draining, those with the highest downtime
/// weight first.
pub(crate) fn repair_groups(view: &PlanView, plan: &mut FabricRecord, pool: &mut HostPool) {
    let mut groups: Vec<&mut GroupRecord> = plan
        .groups
        .iter_mut()
        .filter(|group| group.phase == GroupPhase::Active && view.is_broken(group))
        .collect();
    groups.sort_by(|a, b| {
        let weights = view
            .weight(&b.deployment)
            .total_cmp(&view.weight(&a.deployment));
        weights.then(missing_count(view, a).cmp(&missing_count(view, b)))
    });
    for group in groups {
        repair_group(view, group, pool);
    }
}

/// Number of members that are missing and may be replaced.
pub(crate) fn missing_count(view: &PlanView, group: &GroupRecord) -> usize {
    let members = group.members.iter();
    members
        .filter(|member| view.presence(member) == MemberPresence::Missing)
        .count()
}

fn repair_group(view: &PlanView, group: &mut GroupRecord, pool: &mut HostPool) {
    let model = group.model.clone();
    let dissolves = view.settings.dissolve_rule == DissolveRule::Always;
    let mut changed = false;
    for member in &mut group.members {
        let replacement = match view.presence(member) {
            MemberPresence::Present if view.is_leaving(&member.host) => pool.take_soonest(&model),
            MemberPresence::Present | MemberPresence::Silent => None,
            MemberPresence::Missing if dissolves => None,
            MemberPresence::Missing => pool.take_soonest(&model),
            MemberPresence::Restarted(incarnation) => {
                let restored = MemberRecord {
                    incarnation,
                    ..member.clone()
                };
                let loads = view
                    .report(&member.host)
                    .is_some_and(|r| r.model.as_ref() != Some(&model));
                let spare = if loads {
                    pool.take_loaded(&model)
                } else {
                    None
                };
                spare.or(Some(restored))
            }
        };
        if let Some(replacement) = replacement {
            *member = replacement;
            changed = true;
        }
    }
    if changed {
        group.epoch = group.epoch.next();
    }
}
