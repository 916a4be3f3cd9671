//! Keeps what calls can be sent to in step with what is known of hosts.

use base::prelude::*;
use document::ServiceKind;
use limits::SlotUsage;
use routing::queries::sum_load;
use routing::{LoadSample, TargetId, TargetSpec};

use super::queue;
use crate::call::{CallPhase, CallState};
use crate::queries;
use crate::{CallStep, GatewayEffect, GatewayState};

/// Works out anew which targets each service has and breaks off attempts
/// whose group has lost a member.
pub fn refresh(state: &mut GatewayState, now: ClockTime) -> Vec<GatewayEffect> {
    let configuration = &state.watch.config.in_force.configuration;
    let services: Vec<(ServiceName, ServiceKind)> = configuration
        .services
        .iter()
        .map(|(service, spec)| (service.clone(), spec.kind.clone()))
        .collect();
    let mut effects = stop_broken(state, now);
    for (service, kind) in services {
        let specs = queries::service_targets(state, &service, &kind, now);
        effects.extend(set_targets(state, &service, specs, now));
    }
    effects
}

/// Refreshes the targets once an answer that they rest on has expired.
pub fn drop_expired(state: &mut GatewayState, now: ClockTime) -> Vec<GatewayEffect> {
    let before = state.reports.len();
    state.reports.retain(|_, timed| now < timed.valid_until);
    if state.reports.len() == before {
        return Vec::new();
    }
    refresh(state, now)
}

/// Passes a host's reported load on to the routing of its services.
pub fn observe_load(state: &mut GatewayState, host: &HostName) {
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
    let taken = timed.polled_at;
    for route in state.routes.values_mut() {
        routing::commands::observe_load(route, &target, sample, taken);
    }
}

fn set_targets(
    state: &mut GatewayState,
    service: &ServiceName,
    specs: Vec<TargetSpec>,
    now: ClockTime,
) -> Vec<GatewayEffect> {
    let nodes = state.watch.nodes;
    let route = state.route_of(service);
    routing::commands::set_node_count(route, nodes);
    routing::commands::set_targets(route, specs, now);
    share_slots(state, service, now)
}

/// Works out anew which part of every service's slots is this node's.
pub fn share_all(state: &mut GatewayState, now: ClockTime) -> Vec<GatewayEffect> {
    let services: Vec<ServiceName> = state.routes.keys().cloned().collect();
    let shares = services.iter();
    shares
        .flat_map(|service| share_slots(state, service, now))
        .collect()
}

fn share_slots(
    state: &mut GatewayState,
    service: &ServiceName,
    now: ClockTime,
) -> Vec<GatewayEffect> {
    let nodes = state.watch.nodes;
    let load = sum_load(state.route_of(service));
    let view = SlotUsage {
        slots: load.slots,
        reported_slots: load.reported_slots,
        reported_calls: load.reported_calls,
        local_calls: load.local_calls,
        nodes,
    };
    let change = limits::commands::set_capacity_share(&mut state.admission, service, view, now);
    queue::apply_change(state, change, now)
}

fn stop_broken(state: &GatewayState, now: ClockTime) -> Vec<GatewayEffect> {
    let places = queries::running_places(state, now);
    let is_broken = |call: &CallState| match &call.phase {
        CallPhase::Trying {
            place: Some(place), ..
        } => !places.contains(place),
        _ => false,
    };
    let broken = state.calls.iter().filter(|(_, call)| is_broken(call));
    broken
        .map(|(&call, _)| GatewayEffect::Step {
            call,
            step: CallStep::Stop,
        })
        .collect()
}
