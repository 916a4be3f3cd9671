//! The owner's management of the groups.

use std::collections::BTreeMap;

use base::prelude::*;
use replicas::commands::{
    begin_ownership, claim, forget_probes, probe, probe_heads_often, record_order_outcome,
    record_probe_outcome, retry_probe, spread_probes, tick,
};
use replicas::queries::serving_groups;
use replicas::{MemberOrder, OrderOutcome, PlanEffect, ProbeOutcome};

use super::placement::{follow_demand, report_demand};
use super::reach::{is_untrusted, record_trouble};
use super::refresh_targets;
use super::shared::record_change;
use super::targets::announce_targets;
use crate::peer::SlowPace;
use crate::queries::{awaits_list, is_prober, next_plan, owner};
use crate::{EdgeEffect, EdgeState};

/// Interval between two log lines that summarize the groups.
const INVENTORY_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Runs the planner if this node owns the groups and a run is due.
pub(crate) fn plan_if_due(state: &mut EdgeState, now: ClockTime) -> Vec<EdgeEffect> {
    let was_probing = is_probing(state);
    let is_owner = owner(state, now).as_ref() == Some(&state.settings.node);
    if is_owner != state.is_owner {
        state.is_owner = is_owner;
        if is_owner {
            begin_ownership(&mut state.planner);
            probe_heads_often(&mut state.planner, now);
            spread_probes(&mut state.planner, now);
            announce_targets(state);
        }
        log::info!(is_owner, record = state.planner.version().unwrap_or_default().0; "group ownership changed");
    }
    let is_prober = !is_owner && is_prober(state, now);
    if is_prober != std::mem::replace(&mut state.is_prober, is_prober) {
        log::info!(is_prober; "probing of groups without an owner changed");
    }
    if was_probing && !is_probing(state) {
        forget_probes(&mut state.planner);
        state.held_probes.clear();
        refresh_targets(state);
    }
    if !(is_owner || is_prober) || next_plan(state) > now {
        return Vec::new();
    }
    state.plan_due = now + state.times.plan_interval;
    state.last_plan_at = Some(now);
    state.needs_plan = false;
    let Some(config) = state.config.get().cloned() else {
        return Vec::new();
    };
    let is_planning = is_owner && state.planner.claimed_version().is_some() && !awaits_list(state);
    let mut placement_effects = match is_planning {
        true => follow_demand(state, &config, now),
        false => Vec::new(),
    };
    let effects = match state.planner.claimed_version() {
        None if is_owner => claim(&mut state.planner, now),
        Some(_) if is_owner && !awaits_list(state) => tick(&mut state.planner, &config, now),
        _ => probe(&mut state.planner, now),
    };
    update_slow_groups(state);
    refresh_targets(state);
    if state.inventory_log_due <= now {
        state.inventory_log_due = now + INVENTORY_LOG_INTERVAL;
        log_inventories(state, &config);
        if is_planning {
            placement_effects.extend(report_demand(state, &config));
        }
    }
    let effects = effects.into_iter();
    let effects = effects.filter_map(|effect| convert_effect(state, effect));
    effects.chain(placement_effects).collect()
}

/// Whether this node probes the endpoints.
fn is_probing(state: &EdgeState) -> bool {
    state.is_owner || state.is_prober
}

/// Updates the slow groups from the reports of their members.
fn update_slow_groups(state: &mut EdgeState) {
    let groups = serving_groups(&state.planner).into_iter();
    let slow = groups.filter_map(|group| Some((group.head, SlowPace::new(group.latency_factor)?)));
    let slow_groups: BTreeMap<_, _> = slow.collect();
    if slow_groups != state.slow_groups {
        log::info!(paces:? = slow_groups; "slow groups changed");
        state.slow_groups = slow_groups;
    }
}

/// Logs the groups, usable and spare endpoints of each fabric domain.
fn log_inventories(state: &EdgeState, config: &intent::RoutingConfig) {
    for service in config.services.values() {
        let Some(engine) = &service.engine else {
            continue;
        };
        let inventories = replicas::queries::fabric_inventories(&state.planner, service, engine);
        let lines = inventories.iter().map(|inventory| {
            let (fabric, model) = (&inventory.fabric, &inventory.model);
            let (usable, groups, spares) = (inventory.usable, inventory.groups, inventory.spares);
            format!("{fabric}/{model}: {usable} usable, {groups} groups, {spares} spare")
        });
        let summary = lines.collect::<Vec<_>>().join("; ");
        log::info!(service:% = service.name, stock = summary; "groups and spare endpoints");
    }
}

/// Converts an effect of the planner into one of the event loop.
fn convert_effect(state: &EdgeState, effect: PlanEffect) -> Option<EdgeEffect> {
    match effect {
        PlanEffect::Order { to, order } => {
            let address = state.planner.endpoints().get(&to)?.endpoint.address;
            Some(EdgeEffect::Order { to, address, order })
        }
        PlanEffect::Probe(of) => {
            let address = state.planner.endpoints().get(&of)?.endpoint.address;
            Some(EdgeEffect::Probe { of, address })
        }
        PlanEffect::Write { record, expected } => {
            log_group_changes(state, &record);
            record_change(&record, expected).map(EdgeEffect::Update)
        }
    }
}

/// Logs how a new record differs from the current one.
fn log_group_changes(state: &EdgeState, record: &replicas::GroupRecord) {
    let before = &state.planner.record().groups;
    for group in before {
        if !record.groups.iter().any(|kept| kept.epoch == group.epoch) {
            log::info!(group:% = group.name, epoch = group.epoch.0, model:% = group.model; "group removed");
        }
    }
    for group in &record.groups {
        let old = before.iter().find(|old| old.epoch == group.epoch);
        if old.is_none_or(|old| old.phase != group.phase) {
            let members: Vec<_> = group
                .members
                .iter()
                .map(|member| member.id.as_str())
                .collect();
            log::info!(group:% = group.name, epoch = group.epoch.0, model:% = group.model, phase:? = group.phase, members = members.join(","); "group changed");
        }
    }
}

/// Handles the outcome of an order.
pub(crate) fn handle_order_outcome(
    state: &mut EdgeState,
    to: &HostName,
    order: &MemberOrder,
    outcome: OrderOutcome,
    now: ClockTime,
) -> Vec<EdgeEffect> {
    let (group, epoch) = order
        .group()
        .map_or(("", 0), |(name, epoch)| (name.as_str(), epoch.0));
    log::info!(endpoint:% = to, order = order.verb(), group, epoch, outcome:? = outcome; "order ended");
    let config = state.config.get().cloned();
    let view = state.planner.endpoints().get(to);
    let service = view.map(|view| view.endpoint.service.clone());
    let engine = config.as_ref().and_then(|config| {
        let service = config.services.get(&service?)?;
        service.engine.as_ref()
    });
    record_order_outcome(&mut state.planner, to, order, outcome, engine, now);
    state.needs_plan = true;
    plan_if_due(state, now)
}

/// Handles the outcome of a probe.
pub(crate) fn handle_report_outcome(
    state: &mut EdgeState,
    of: &HostName,
    outcome: ProbeOutcome,
    now: ClockTime,
) -> Vec<EdgeEffect> {
    let was_lost = state
        .planner
        .endpoints()
        .get(of)
        .is_some_and(|view| view.is_lost());
    if let ProbeOutcome::Received(report) = &outcome {
        let requests = report.running.saturating_add(report.queued);
        relay::commands::update_engine_load(&mut state.relay, of, requests, now);
    }
    let lag_age = state.last_lag_at.map(|at| now.since(at));
    if outcome == ProbeOutcome::NoResponse
        && lag_age.is_some_and(|age| age < state.times.lag_window)
    {
        // The response may have arrived in time but was not read, as this node was overloaded.
        log::info!(endpoint:% = of; "probe repeated because this node was overloaded");
        retry_probe(&mut state.planner, of, now);
        return Vec::new();
    }
    if outcome == ProbeOutcome::NoResponse && !is_probing(state) {
        // The probe was sent before another node took over, and no later one would correct it.
        return Vec::new();
    }
    if outcome == ProbeOutcome::NoResponse {
        record_trouble(state, of, now);
        if is_untrusted(state, now) {
            // Counts once it is clear that the servers are in trouble and not this node.
            state.held_probes.insert(of.clone());
            return Vec::new();
        }
    }
    record_probe_outcome(&mut state.planner, of, outcome, now);
    let is_lost = state
        .planner
        .endpoints()
        .get(of)
        .is_some_and(|view| view.is_lost());
    if was_lost != is_lost {
        log::info!(endpoint:% = of, is_lost; "endpoint reachability changed");
        state.needs_plan = true;
        return plan_if_due(state, now);
    }
    Vec::new()
}
