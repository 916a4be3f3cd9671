//! Updates the routing targets and slots from the hosts, their reports and the groups.

use base::prelude::*;
use document::ServiceKind;
use limits::SlotUsage;
use routing::queries::sum_load;
use routing::{LoadSample, TargetId, TargetSpec};

use super::{holds, queue};
use crate::queries;
use crate::{GatewayEffect, GatewayState};

/// Recomputes the targets of every service, and suspends or aborts attempts whose group
/// is no longer complete.
pub fn refresh(state: &mut GatewayState, now: ClockTime) -> Vec<GatewayEffect> {
    let configuration = &state.watch.config.in_force.configuration;
    let services: Vec<(ServiceName, ServiceKind)> = configuration
        .services
        .iter()
        .map(|(service, spec)| (service.clone(), spec.kind.clone()))
        .collect();
    let mut effects = holds::apply_group_conditions(state, now);
    for (service, kind) in services {
        let specs = queries::service_targets(state, &service, &kind, now);
        effects.extend(set_targets(state, &service, specs, now));
    }
    effects
}

/// Drops expired reports and, if there were any, refreshes the targets.
pub fn drop_expired(state: &mut GatewayState, now: ClockTime) -> Vec<GatewayEffect> {
    let before = state.reports.len();
    state.reports.retain(|_, timed| now < timed.valid_until);
    if state.reports.len() == before {
        return Vec::new();
    }
    refresh(state, now)
}

/// Passes a host's reported load to the routing state of the services.
pub fn update_load(state: &mut GatewayState, host: &HostName) {
    let Some(timed) = state.reports.get(host) else {
        return;
    };
    let sample = LoadSample {
        running: timed.report.load.running,
        waiting: timed.report.load.waiting,
    };
    let target = match &timed.report.assignment {
        Some(assignment) if assignment.rank == 0 => TargetId::Group(assignment.group.clone()),
        Some(_) => return,
        None => TargetId::Host(host.clone()),
    };
    let polled_at = timed.polled_at;
    for route in state.routes.values_mut() {
        routing::commands::observe_load(route, &target, sample, polled_at);
    }
}

fn set_targets(
    state: &mut GatewayState,
    service: &ServiceName,
    specs: Vec<TargetSpec>,
    now: ClockTime,
) -> Vec<GatewayEffect> {
    let nodes = state.watch.gateway_count;
    let route = state.route_mut(service);
    routing::commands::set_node_count(route, nodes);
    routing::commands::set_targets(route, specs, now);
    update_slot_share(state, service, now)
}

/// Recomputes this node's share of the slots of every service.
pub fn update_slot_shares(state: &mut GatewayState, now: ClockTime) -> Vec<GatewayEffect> {
    let services: Vec<ServiceName> = state.routes.keys().cloned().collect();
    let services = services.iter();
    services
        .flat_map(|service| update_slot_share(state, service, now))
        .collect()
}

fn update_slot_share(
    state: &mut GatewayState,
    service: &ServiceName,
    now: ClockTime,
) -> Vec<GatewayEffect> {
    let nodes = state.watch.gateway_count;
    let load = sum_load(state.route_mut(service));
    let usage = SlotUsage {
        slots: load.slots,
        reported_slots: load.reported_slots,
        reported_calls: load.reported_calls,
        local_calls: load.local_calls,
        nodes,
    };
    let change = limits::commands::set_capacity_share(&mut state.admission, service, usage, now);
    queue::apply_change(state, change, now)
}
