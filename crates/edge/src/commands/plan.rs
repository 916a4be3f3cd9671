//! The owner's work on the groups.

use std::collections::BTreeMap;

use base::prelude::*;
use replicas::commands::{
    probe_heads_often, record_order_outcome, record_report, retry_probe, tick,
};
use replicas::queries::serving_groups;
use replicas::{MemberOrder, OrderOutcome, PlanEffect, ReportOutcome};

use super::refresh_places;
use super::shared::record_change;
use crate::peer::SlowPace;
use crate::queries::{owner, plan_due};
use crate::{EdgeEffect, EdgeState};

/// Pause between two lines that sum up the groups.
const STOCK_PERIOD: Duration = Duration::from_secs(1);

/// Looks at the groups if this node owns them and it is time.
pub(crate) fn plan_if_due(state: &mut EdgeState, now: ClockTime) -> Vec<EdgeEffect> {
    let is_owner = owner(state, now).as_ref() == Some(&state.settings.node);
    if is_owner != state.is_owner {
        state.is_owner = is_owner;
        if is_owner {
            probe_heads_often(&mut state.planner, now);
        }
        log::info!(is_owner, record = state.planner.version().unwrap_or_default().0; "the owner of the groups has changed");
    }
    if !is_owner || plan_due(state) > now {
        return Vec::new();
    }
    state.plan_due = now + state.times.plan_period;
    state.planned_at = Some(now);
    state.has_news = false;
    let Some(intent) = state.intent.get().cloned() else {
        return Vec::new();
    };
    let effects = tick(&mut state.planner, &intent, now);
    note_paces(state);
    refresh_places(state);
    if state.stock_due <= now {
        state.stock_due = now + STOCK_PERIOD;
        log_stock(state, &intent);
    }
    effects
        .into_iter()
        .filter_map(|effect| execute(state, effect))
        .collect()
}

/// Notes which groups run slowly, as their members have reported.
fn note_paces(state: &mut EdgeState) {
    let groups = serving_groups(&state.planner).into_iter();
    let slow = groups.filter_map(|group| Some((group.head, SlowPace::new(group.latency_factor)?)));
    let paces: BTreeMap<_, _> = slow.collect();
    if paces != state.paces {
        log::info!(paces:? = paces; "the slow groups have changed");
        state.paces = paces;
    }
}

/// Logs what each fabric domain has and should have.
fn log_stock(state: &EdgeState, intent: &intent::RoutingConfig) {
    for service in intent.services.values() {
        let Some(engine) = &service.engine else {
            continue;
        };
        let stocks = replicas::queries::fabric_inventories(&state.planner, service, engine);
        let lines = stocks.iter().map(|stock| {
            let (fabric, model) = (&stock.fabric, &stock.model);
            let (usable, groups, spares) = (stock.usable, stock.groups, stock.spares);
            format!("{fabric}/{model}: {usable} usable, {groups} groups, {spares} spare")
        });
        let stock = lines.collect::<Vec<_>>().join("; ");
        log::info!(service:% = service.name, stock; "groups and spare endpoints");
    }
}

/// Effect of the planner as one of the loop.
fn execute(state: &EdgeState, effect: PlanEffect) -> Option<EdgeEffect> {
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
            log_groups(state, &record);
            record_change(&record, expected).map(EdgeEffect::Update)
        }
    }
}

/// Logs what a new record changes about the groups.
fn log_groups(state: &EdgeState, record: &replicas::GroupRecord) {
    let before = &state.planner.record().groups;
    for group in before {
        if !record.groups.iter().any(|kept| kept.epoch == group.epoch) {
            log::info!(group:% = group.name, epoch = group.epoch.0, model:% = group.model; "a group ends");
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
            log::info!(group:% = group.name, epoch = group.epoch.0, model:% = group.model, phase:? = group.phase, members = members.join(","); "a group changes");
        }
    }
}

/// Takes in how an order ended.
pub(crate) fn take_order(
    state: &mut EdgeState,
    to: &HostName,
    order: &MemberOrder,
    outcome: OrderOutcome,
    now: ClockTime,
) -> Vec<EdgeEffect> {
    let (group, epoch) = order
        .group()
        .map_or(("", 0), |(name, epoch)| (name.as_str(), epoch.0));
    log::info!(endpoint:% = to, order = order.verb(), group, epoch, outcome:? = outcome; "an order ended");
    let intent = state.intent.get().cloned();
    let view = state.planner.endpoints().get(to);
    let service = view.map(|view| view.endpoint.service.clone());
    let engine = intent.as_ref().and_then(|intent| {
        let service = intent.services.get(&service?)?;
        service.engine.as_ref()
    });
    record_order_outcome(&mut state.planner, to, order, outcome, engine, now);
    state.has_news = true;
    plan_if_due(state, now)
}

/// Takes in an endpoint's report.
pub(crate) fn take_report(
    state: &mut EdgeState,
    of: &HostName,
    outcome: ReportOutcome,
    now: ClockTime,
) -> Vec<EdgeEffect> {
    let was_lost = state
        .planner
        .endpoints()
        .get(of)
        .is_some_and(|view| view.is_lost());
    if let ReportOutcome::Received(report) = &outcome {
        let requests = report.running + report.queued;
        relay::commands::update_engine_load(&mut state.relay, of, requests, now);
    }
    let lagged = state.lagged_at.map(|at| now.since(at));
    if outcome == ReportOutcome::NoResponse
        && lagged.is_some_and(|since| since < state.times.lag_span)
    {
        // The answer may have come while this node was busy.
        log::info!(endpoint:% = of; "a question that this node was too busy for is asked again");
        retry_probe(&mut state.planner, of, now);
        return Vec::new();
    }
    record_report(&mut state.planner, of, outcome, now);
    let is_lost = state
        .planner
        .endpoints()
        .get(of)
        .is_some_and(|view| view.is_lost());
    if was_lost != is_lost {
        log::info!(endpoint:% = of, is_lost; "an endpoint's silence changed");
        state.has_news = true;
        return plan_if_due(state, now);
    }
    Vec::new()
}
