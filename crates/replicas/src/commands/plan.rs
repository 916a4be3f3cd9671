//! Planning pass: decides what the owner writes and orders next.

use std::collections::{BTreeMap, HashSet};

use base::prelude::*;
use intent::{EngineProfile, RoutingConfig};

use super::list::expire_endpoints;
use super::orders::issue;
use super::probes::start_due_probes;
use crate::queries::{
    FabricIndex, GroupHealth, GroupSelection, group_health, has_displaced_member, home_models,
    is_list_outdated, is_usable, plan_staging, select_group,
};
use crate::state::{is_standby, standby_name};
use crate::{
    GroupEntry, GroupPhase, GroupRecord, MemberOrder, MemberPhase, PlanEffect, PlannerState,
};

/// Epochs that can be reserved between two restores of the store.
const EPOCHS_PER_ERA: u64 = 1 << 24;

/// Runs one planning pass and returns what the owner does next.
pub fn tick(state: &mut PlannerState, config: &RoutingConfig, now: ClockTime) -> Vec<PlanEffect> {
    expire_endpoints(state, now);
    let Some(version) = state.version else {
        return Vec::new();
    };
    // While a write is in flight, plan on the record that it writes.
    let mut draft = GroupRecord::clone(state.pending_record.as_ref().unwrap_or(&state.record));
    let mut effects = Vec::new();
    if state.pending_record.is_none() && state.next_write_at <= now {
        end_groups(state, &mut draft, now);
        mark_serving(state, &mut draft);
        if state.epochs.is_empty() {
            reserve_epochs(state, &mut draft, version);
        } else {
            form_groups(state, &mut draft, config, now);
        }
        if draft != *state.record || state.is_record_lost {
            draft.owner = Some(state.node.clone());
            let record = Arc::new(draft.clone());
            state.pending_record = Some(record.clone());
            effects.push(PlanEffect::Write {
                record,
                expected: version,
            });
        }
    }
    // Until the record names this node as owner, orders of the previous owner may be in flight.
    if !state.epochs.is_empty() {
        effects.extend(order_groups(state, &draft, config, now));
        effects.extend(order_spares(state, &draft, config, now));
    }
    effects.extend(start_due_probes(state, now));
    effects
}

/// Runs a pass that only probes endpoints, without a change of the groups.
pub fn probe(state: &mut PlannerState, now: ClockTime) -> Vec<PlanEffect> {
    start_due_probes(state, now)
}

/// Reserves the next block of epochs.
///
/// A restored store may have lost blocks that were reserved since the copy, so each era of the
/// store has epochs of its own.
pub(super) fn reserve_epochs(
    state: &mut PlannerState,
    draft: &mut GroupRecord,
    version: ObjectVersion,
) {
    let era_start = version.era().saturating_mul(EPOCHS_PER_ERA);
    let start = draft.next_epoch.0.max(1).max(era_start);
    let end = start + state.settings.epoch_block_size;
    draft.next_epoch = GroupEpoch(end);
    state.requested_epochs = start..end;
}

/// Ends groups that have lost a member and closes groups with a leaving member.
fn end_groups(state: &mut PlannerState, draft: &mut GroupRecord, now: ClockTime) {
    let mut closing = BTreeMap::new();
    let moved = moved_groups(state, draft, now);
    let endpoints = &state.endpoints;
    let record_received_at = state.record_received_at;
    draft.groups.retain_mut(|group| {
        let is_closed_for_move = moved.contains(&group.epoch);
        let timeout = match group_health(endpoints, group) {
            GroupHealth::Healthy if has_displaced_member(endpoints, group, record_received_at) => {
                return false;
            }
            // Another owner may have begun to close it.
            GroupHealth::Healthy if is_closed_for_move || group.phase == GroupPhase::Closing => {
                state.settings.move_close_timeout
            }
            GroupHealth::Healthy => return true,
            GroupHealth::MemberLost => return is_list_outdated(endpoints, group, now),
            GroupHealth::MemberLeaving => state.settings.close_timeout,
        };
        if group.phase == GroupPhase::Forming {
            return false;
        }
        let since = *state.closing.get(&group.epoch).unwrap_or(&now);
        closing.insert(group.epoch, since);
        let was_closing = group.phase == GroupPhase::Closing;
        group.phase = GroupPhase::Closing;
        let is_done = was_closing && has_closed(endpoints, group);
        !is_done && now < since + timeout
    });
    state.closing = closing;
}

/// Groups that end because their fabric domain moves to another model, or no longer lends its
/// spares.
///
/// In a domain that moves, serving ones follow one another: the next one is closed once every free
/// endpoint of the domain loads the new model, so that no more work is given up than loads may
/// start.
fn moved_groups(state: &PlannerState, draft: &GroupRecord, now: ClockTime) -> HashSet<GroupEpoch> {
    let returned = draft.groups.iter().filter(|group| {
        let head = state.endpoints.get(&group.head().id);
        let fabric = head.and_then(|view| view.endpoint.fabric.as_ref());
        fabric.is_some_and(|fabric| {
            let is_home = state.homes.get(fabric) == Some(&group.model);
            state.placement.returning.contains(fabric) && !is_home
        })
    });
    let mut moved: HashSet<_> = returned.map(|group| group.epoch).collect();
    let Some(begun) = state.placement.current_move() else {
        return moved;
    };
    let (fabric, model) = (&begun.plan.fabric, &begun.plan.to);
    let is_in_domain = |id: &HostName| {
        let view = state.endpoints.get(id);
        view.is_some_and(|view| view.endpoint.fabric.as_ref() == Some(fabric))
    };
    let former = draft.groups.iter().filter(|group| {
        group.service == begun.plan.service
            && group.model != *model
            && is_in_domain(&group.head().id)
    });
    let (serving, ending): (Vec<_>, Vec<_>) =
        former.partition(|group| group.phase == GroupPhase::Serving);
    moved.extend(ending.iter().map(|group| group.epoch));
    let members = draft.groups.iter().flat_map(|group| &group.members);
    let grouped: HashSet<_> = members.map(|member| &member.id).collect();
    let awaits_load = |(id, view): (&HostName, &crate::EndpointView)| {
        is_in_domain(id)
            && is_usable(view)
            && !grouped.contains(id)
            && !view.endpoint.staged.contains(model)
            && !state.loads.is_loading(id, now)
    };
    if !state.endpoints.iter().any(awaits_load)
        && !ending
            .iter()
            .any(|group| group.phase == GroupPhase::Closing)
    {
        moved.extend(serving.first().map(|group| group.epoch));
    }
    moved
}

/// Whether the head has finished its requests.
fn has_closed(endpoints: &BTreeMap<HostName, crate::EndpointView>, group: &GroupEntry) -> bool {
    let Some(view) = endpoints.get(&group.head().id) else {
        return true;
    };
    view.endpoint.membership.as_ref().is_none_or(|membership| {
        membership.epoch == group.epoch && membership.phase == MemberPhase::Ready
    })
}

/// Marks forming groups as serving once their head serves.
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
    let is_member = membership.group == group.name && membership.epoch == group.epoch;
    is_member.then_some(membership.phase)
}

/// Whether every member was seen ready under this group's name and epoch.
fn has_joined(state: &PlannerState, group: &GroupEntry) -> bool {
    group
        .members
        .iter()
        .all(|member| phase_in(state, group, &member.id).is_some_and(MemberPhase::has_joined))
}

/// Forms as many groups of each domain's home model as its free endpoints allow.
fn form_groups(
    state: &mut PlannerState,
    draft: &mut GroupRecord,
    config: &RoutingConfig,
    now: ClockTime,
) {
    for service in config.services.values() {
        let Some(engine) = &service.engine else {
            continue;
        };
        let allow_cold = now < state.settings.cold_start_until;
        let mut fabric_index = FabricIndex::new(state, draft, service);
        let homes = home_models(state, &fabric_index, engine, allow_cold);
        state.homes.extend(homes.clone());
        let select = |state: &PlannerState, fabric_index: &FabricIndex, fabric: &FabricName| {
            let loan = state.placement.loans.get(fabric);
            let lent = loan.and_then(|loan| engine.model(&loan.plan.model));
            let home = homes.get(fabric).and_then(|home| engine.model(home));
            home.into_iter().chain(lent).find_map(|model| {
                select_group(state, fabric_index, service, model, fabric, allow_cold)
            })
        };
        let mut selections: BTreeMap<FabricName, GroupSelection> = homes
            .keys()
            .filter_map(|fabric| Some((fabric.clone(), select(state, &fabric_index, fabric)?)))
            .collect();
        // Start with the domain that has the fewest groups.
        while let Some(fabric) = selections
            .keys()
            .min_by_key(|fabric| fabric_index.group_count(fabric))
            .cloned()
        {
            let Some(epoch) = state.epochs.next() else {
                break;
            };
            let selection = selections.remove(&fabric);
            let Some(group) =
                selection.and_then(|selection| selection.into_entry(GroupEpoch(epoch), draft))
            else {
                state.epochs.start = epoch;
                break;
            };
            fabric_index.add(Some(&fabric), &group);
            draft.groups.push(group);
            if let Some(next) = select(state, &fabric_index, &fabric) {
                selections.insert(fabric, next);
            }
        }
    }
}

/// Orders that bring the endpoints into the groups of the record.
fn order_groups(
    state: &mut PlannerState,
    draft: &GroupRecord,
    config: &RoutingConfig,
    now: ClockTime,
) -> Vec<PlanEffect> {
    let record = state.record.clone();
    let kept: HashSet<_> = draft.groups.iter().map(|group| group.epoch).collect();
    let mut effects = Vec::new();
    for group in &record.groups {
        // No orders for a group that the record being written removes.
        if !kept.contains(&group.epoch) {
            continue;
        }
        let Some(engine) = engine_of(config, &group.service) else {
            continue;
        };
        match group.phase {
            GroupPhase::Forming if has_evacuated_member(state, group) => {}
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
                    effects.extend(issue(state, &head, order, engine, now));
                }
            }
            GroupPhase::Serving => {}
        }
    }
    effects
}

/// Whether a member's failure domain is evacuated, so that the group is not formed until that ends.
fn has_evacuated_member(state: &PlannerState, group: &GroupEntry) -> bool {
    let mut members = group.members.iter();
    members.any(|member| {
        let view = state.endpoints.get(&member.id);
        view.is_some_and(|view| state.is_evacuated(view))
    })
}

fn engine_of<'a>(config: &'a RoutingConfig, service: &ServiceName) -> Option<&'a EngineProfile> {
    config.services.get(service)?.engine.as_ref()
}

/// Join orders for a forming group, and the order to open once all members have joined.
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
            effects.extend(issue(state, &head, order, engine, now));
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
        let membership = view.endpoint.membership.as_ref();
        let other = membership
            .filter(|membership| membership.group != group.name && !is_standby(&membership.group));
        let order = match other {
            Some(membership) => MemberOrder::Leave {
                group: membership.group.clone(),
                epoch: membership.epoch,
            },
            None => MemberOrder::Join {
                group: group.name.clone(),
                epoch: group.epoch,
                model: group.model.clone(),
                members: members.clone(),
            },
        };
        effects.extend(issue(state, id, order, engine, now));
    }
    effects
}

/// Orders for endpoints outside groups: leave ended groups, load needed models. Endpoints of an
/// evacuated failure domain get none, as their loads would count against those of the others.
fn order_spares(
    state: &mut PlannerState,
    draft: &GroupRecord,
    config: &RoutingConfig,
    now: ClockTime,
) -> Vec<PlanEffect> {
    let record = state.record.clone();
    let members = record.groups.iter().flat_map(|group| &group.members);
    let grouped: HashSet<_> = members.map(|member| &member.id).collect();
    let mut effects = Vec::new();
    for service in config.services.values() {
        let Some(engine) = &service.engine else {
            continue;
        };
        let fabric_index = FabricIndex::new(state, draft, service);
        let spares: Vec<_> = state
            .endpoints
            .iter()
            .filter(|(id, view)| {
                view.endpoint.service == service.name
                    && is_usable(view)
                    && !state.is_evacuated(view)
                    && fabric_index.model_of(id).is_none()
                    && !grouped.contains(id)
            })
            .map(|(id, _)| id.clone())
            .collect();
        let is_cold_start = now < state.settings.cold_start_until;
        let homes = home_models(state, &fabric_index, engine, is_cold_start);
        let staging = plan_staging(state, &homes, &spares);
        for id in spares {
            let order = spare_order(state, &id, staging.get(&id));
            if let Some(order) = order {
                effects.extend(issue(state, &id, order, engine, now));
            }
        }
    }
    effects
}

/// Next order for a spare endpoint.
fn spare_order(
    state: &mut PlannerState,
    id: &HostName,
    model_to_stage: Option<&ModelName>,
) -> Option<MemberOrder> {
    let view = state.endpoints.get(id)?;
    let membership = view.endpoint.membership.as_ref();
    if let Some(membership) = membership.filter(|membership| !is_standby(&membership.group)) {
        if membership.epoch >= state.record.next_epoch {
            // A newer owner formed that group; its record has not arrived here yet.
            return None;
        }
        return Some(MemberOrder::Leave {
            group: membership.group.clone(),
            epoch: membership.epoch,
        });
    }
    if let Some(model) = model_to_stage {
        return Some(MemberOrder::Stage {
            model: model.clone(),
        });
    }
    let model = view.endpoint.staged.first()?.clone();
    if view.resident_model.as_ref() == Some(&model)
        || membership.is_some_and(|membership| !membership.phase.has_joined())
    {
        return None;
    }
    let is_standby_join = |order: &MemberOrder| matches!(order, MemberOrder::Join { model: ordered, .. } if *ordered == model);
    let pending = view.pending.as_ref().map(|pending| &pending.order);
    if let Some(order) = pending.filter(|order| is_standby_join(order)) {
        return Some(order.clone());
    }
    let epoch = state.epochs.next()?;
    Some(MemberOrder::Join {
        group: standby_name(id)?,
        epoch: GroupEpoch(epoch),
        model,
        members: vec![id.clone()],
    })
}
