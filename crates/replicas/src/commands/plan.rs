//! One look at everything: what the owner writes and orders next.

use std::collections::{BTreeMap, HashSet};

use base::prelude::*;
use intent::{EngineProfile, RoutingConfig};

use super::list::drop_gone;
use super::orders::give;
use super::probes::ask_due;
use crate::queries::{
    DomainSurvey, GroupPick, Verdict, has_strayed, home_models, is_usable, pick_group,
    plan_staging, verdict,
};
use crate::state::{is_park, park_name};
use crate::{
    GroupEntry, GroupPhase, GroupRecord, MemberOrder, MemberPhase, PlanEffect, PlannerState,
};

/// Decides what the owner does next.
pub fn tick(state: &mut PlannerState, intent: &RoutingConfig, now: ClockTime) -> Vec<PlanEffect> {
    drop_gone(state, now);
    let Some(version) = state.version else {
        return Vec::new();
    };
    // While a write is on its way, what it says counts as good as written.
    let mut draft = GroupRecord::clone(state.writing.as_ref().unwrap_or(&state.record));
    let mut effects = Vec::new();
    if state.writing.is_none() && state.write_at <= now {
        end_groups(state, &mut draft, now);
        mark_serving(state, &mut draft);
        if state.epochs.is_empty() {
            take_epochs(state, &mut draft);
        } else {
            form_groups(state, &mut draft, intent, now);
        }
        if draft != *state.record {
            draft.owner = Some(state.node.clone());
            let record = Arc::new(draft.clone());
            state.writing = Some(record.clone());
            effects.push(PlanEffect::Write {
                record,
                expected: version,
            });
        }
    }
    // Until the record names this node, another owner's orders may be on their way.
    if !state.epochs.is_empty() {
        effects.extend(order_groups(state, &draft, intent, now));
        effects.extend(order_spares(state, &draft, intent, now));
    }
    effects.extend(ask_due(state, now));
    effects
}

/// Takes the next block of epochs.
fn take_epochs(state: &mut PlannerState, draft: &mut GroupRecord) {
    let start = draft.next_epoch.0.max(1);
    let end = start + state.settings.epoch_block;
    draft.next_epoch = GroupEpoch(end);
    state.epochs_asked = start..end;
}

/// Ends groups that have lost a member, and closes those that one is leaving.
fn end_groups(state: &mut PlannerState, draft: &mut GroupRecord, now: ClockTime) {
    let mut closing = BTreeMap::new();
    let known = &state.endpoints;
    let span = state.settings.close_span;
    let record_at = state.record_at;
    draft
        .groups
        .retain_mut(|group| match verdict(known, group) {
            Verdict::Whole => !has_strayed(known, group, record_at),
            Verdict::Lost => false,
            Verdict::Leaving if group.phase == GroupPhase::Forming => false,
            Verdict::Leaving => {
                let since = *state.closing.get(&group.epoch).unwrap_or(&now);
                closing.insert(group.epoch, since);
                let was_closing = group.phase == GroupPhase::Closing;
                group.phase = GroupPhase::Closing;
                let is_done = was_closing && has_closed(known, group);
                !is_done && now < since + span
            }
        });
    state.closing = closing;
}

/// Whether the head has finished what it had.
fn has_closed(known: &BTreeMap<HostName, crate::EndpointView>, group: &GroupEntry) -> bool {
    let Some(view) = known.get(&group.head().id) else {
        return true;
    };
    view.endpoint.membership.as_ref().is_none_or(|membership| {
        membership.epoch == group.epoch && membership.phase == MemberPhase::Ready
    })
}

/// Marks the groups whose head serves.
fn mark_serving(state: &PlannerState, draft: &mut GroupRecord) {
    for group in &mut draft.groups {
        if group.phase == GroupPhase::Forming
            && phase_in(state, group, &group.head().id) == Some(MemberPhase::Open)
            && has_joined(state, group)
        {
            group.phase = GroupPhase::Serving;
        }
    }
}

fn phase_in(state: &PlannerState, group: &GroupEntry, id: &HostName) -> Option<MemberPhase> {
    let membership = state.endpoints.get(id)?.endpoint.membership.as_ref()?;
    let is_there = membership.group == group.name && membership.epoch == group.epoch;
    is_there.then_some(membership.phase)
}

/// Whether every member was seen ready under this name and epoch.
fn has_joined(state: &PlannerState, group: &GroupEntry) -> bool {
    group
        .members
        .iter()
        .all(|member| phase_in(state, group, &member.id).is_some_and(MemberPhase::has_joined))
}

/// Forms as many groups out of free endpoints as the targets ask for.
fn form_groups(
    state: &mut PlannerState,
    draft: &mut GroupRecord,
    intent: &RoutingConfig,
    now: ClockTime,
) {
    for service in intent.services.values() {
        let Some(engine) = &service.engine else {
            continue;
        };
        let allow_cold = now < state.settings.cold_start_until;
        let mut survey = DomainSurvey::new(state, draft, service);
        let homes = home_models(state, &survey, engine, allow_cold);
        state.homes.extend(homes.clone());
        let pick = |state: &PlannerState, survey: &DomainSurvey, fabric: &FabricName| {
            let model = homes.get(fabric).and_then(|home| engine.model(home))?;
            pick_group(state, survey, service, model, fabric, allow_cold)
        };
        let mut picks: BTreeMap<FabricName, GroupPick> = homes
            .keys()
            .filter_map(|fabric| Some((fabric.clone(), pick(state, &survey, fabric)?)))
            .collect();
        // The domain with the fewest groups comes first.
        while let Some(fabric) = picks
            .keys()
            .min_by_key(|fabric| survey.group_count(fabric))
            .cloned()
        {
            let Some(epoch) = state.epochs.next() else {
                break;
            };
            let picked = picks.remove(&fabric);
            let Some(group) = picked.and_then(|pick| pick.into_entry(GroupEpoch(epoch), draft))
            else {
                state.epochs.start = epoch;
                break;
            };
            survey.add(Some(&fabric), &group);
            draft.groups.push(group);
            if let Some(next) = pick(state, &survey, &fabric) {
                picks.insert(fabric, next);
            }
        }
    }
}

/// Orders that bring the groups of the record about.
fn order_groups(
    state: &mut PlannerState,
    draft: &GroupRecord,
    intent: &RoutingConfig,
    now: ClockTime,
) -> Vec<PlanEffect> {
    let record = state.record.clone();
    let kept: HashSet<_> = draft.groups.iter().map(|group| group.epoch).collect();
    let mut effects = Vec::new();
    for group in &record.groups {
        // A group that the next version ends gets no more orders.
        if !kept.contains(&group.epoch) {
            continue;
        }
        let Some(engine) = engine_of(intent, &group.service) else {
            continue;
        };
        match group.phase {
            GroupPhase::Forming => {
                effects.extend(order_members(state, group, engine, now));
            }
            GroupPhase::Closing => {
                let head = group.head().id.clone();
                if phase_in(state, group, &head) == Some(MemberPhase::Open) {
                    let order = MemberOrder::Close {
                        group: group.name.clone(),
                        epoch: group.epoch,
                    };
                    effects.extend(give(state, &head, order, engine, now));
                }
            }
            GroupPhase::Serving => {}
        }
    }
    effects
}

fn engine_of<'a>(intent: &'a RoutingConfig, service: &ServiceName) -> Option<&'a EngineProfile> {
    intent.services.get(service)?.engine.as_ref()
}

/// Joins, and the order to serve once all have joined.
fn order_members(
    state: &mut PlannerState,
    group: &GroupEntry,
    engine: &EngineProfile,
    now: ClockTime,
) -> Vec<PlanEffect> {
    let mut effects = Vec::new();
    if has_joined(state, group) {
        let head = group.head().id.clone();
        if phase_in(state, group, &head) == Some(MemberPhase::Ready) {
            let order = MemberOrder::Open {
                group: group.name.clone(),
                epoch: group.epoch,
            };
            effects.extend(give(state, &head, order, engine, now));
        }
        return effects;
    }
    let members: Vec<_> = group
        .members
        .iter()
        .map(|member| member.id.clone())
        .collect();
    for id in &members {
        if phase_in(state, group, id).is_some_and(MemberPhase::has_joined) {
            continue;
        }
        let Some(view) = state.endpoints.get(id) else {
            continue;
        };
        let held = view.endpoint.membership.as_ref();
        let other = held.filter(|held| held.group != group.name && !is_park(&held.group));
        let order = match other {
            Some(held) => MemberOrder::Leave {
                group: held.group.clone(),
                epoch: held.epoch,
            },
            None => MemberOrder::Join {
                group: group.name.clone(),
                epoch: group.epoch,
                model: group.model.clone(),
                members: members.clone(),
            },
        };
        effects.extend(give(state, id, order, engine, now));
    }
    effects
}

/// Orders for endpoints in no group: leave what is over, load what is needed.
fn order_spares(
    state: &mut PlannerState,
    draft: &GroupRecord,
    intent: &RoutingConfig,
    now: ClockTime,
) -> Vec<PlanEffect> {
    let record = state.record.clone();
    let members = record.groups.iter().flat_map(|group| &group.members);
    let held: HashSet<_> = members.map(|member| &member.id).collect();
    let mut effects = Vec::new();
    for service in intent.services.values() {
        let Some(engine) = &service.engine else {
            continue;
        };
        let survey = DomainSurvey::new(state, draft, service);
        let spares: Vec<_> = state
            .endpoints
            .iter()
            .filter(|(id, view)| {
                view.endpoint.service == service.name
                    && is_usable(view)
                    && survey.model_of(id).is_none()
                    && !held.contains(id)
            })
            .map(|(id, _)| id.clone())
            .collect();
        let is_early = now < state.settings.cold_start_until;
        let homes = home_models(state, &survey, engine, is_early);
        let wishes = plan_staging(state, &homes, &spares);
        for id in spares {
            let order = spare_order(state, &id, wishes.get(&id));
            if let Some(order) = order {
                effects.extend(give(state, &id, order, engine, now));
            }
        }
    }
    effects
}

/// Next order for a spare endpoint.
fn spare_order(
    state: &mut PlannerState,
    id: &HostName,
    wish: Option<&ModelName>,
) -> Option<MemberOrder> {
    let view = state.endpoints.get(id)?;
    let held = view.endpoint.membership.as_ref();
    if let Some(held) = held.filter(|held| !is_park(&held.group)) {
        if held.epoch >= state.record.next_epoch {
            // A newer owner formed that group, and its record isn't known here yet.
            return None;
        }
        return Some(MemberOrder::Leave {
            group: held.group.clone(),
            epoch: held.epoch,
        });
    }
    if let Some(model) = wish {
        return Some(MemberOrder::Stage {
            model: model.clone(),
        });
    }
    let model = view.endpoint.staged.first()?.clone();
    if view.last_model.as_ref() == Some(&model) || held.is_some_and(|held| !held.phase.has_joined())
    {
        return None;
    }
    let is_parking = |order: &MemberOrder| matches!(order, MemberOrder::Join { model: asked, .. } if *asked == model);
    let pending = view.pending.as_ref().map(|pending| &pending.order);
    if let Some(order) = pending.filter(|order| is_parking(order)) {
        return Some(order.clone());
    }
    let epoch = state.epochs.next()?;
    Some(MemberOrder::Join {
        group: park_name(id)?,
        epoch: GroupEpoch(epoch),
        model,
        members: vec![id.clone()],
    })
}
