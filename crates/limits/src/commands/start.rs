//! Start of calls in fair order.

use base::prelude::*;

use super::refuse::take_queued;
use crate::state::{CallPhase, CallState, ServiceQueue, WorkspaceQueue};
use crate::{AdmissionRequest, AdmissionState};

/// Whether a workspace may use one more slot of a service.
pub(super) fn can_start(
    state: &AdmissionState,
    service: &ServiceName,
    workspace: &WorkspaceName,
) -> bool {
    let Some(limits) = state.workspaces.get(workspace) else {
        return false;
    };
    let queue = &state.services[service];
    let free = queue.slots.saturating_sub(queue.running);
    if free == 0 || state.running(workspace) >= limits.call_limit {
        return false;
    }
    free > count_reserve(state, queue, workspace) || !is_flooding(state, queue, workspace)
}

/// Number of slots that are reserved for bursts of other workspaces with running calls.
fn count_reserve(state: &AdmissionState, queue: &ServiceQueue, workspace: &WorkspaceName) -> usize {
    let running = queue
        .workspaces
        .get(workspace)
        .map_or(0, |workspace_queue| workspace_queue.running);
    let others = queue.running.saturating_sub(running) as f64;
    let burst = state.settings.reserve_burst * others.sqrt();
    let limit = state.settings.reserve_share * queue.slots as f64;
    burst.min(limit).round() as usize
}

/// Whether a workspace runs far more calls than its share or has the longest queue
/// relative to its weight.
fn is_flooding(state: &AdmissionState, queue: &ServiceQueue, workspace: &WorkspaceName) -> bool {
    let Some(workspace_queue) = queue.workspaces.get(workspace) else {
        return false;
    };
    let weight = f64::from(state.weight(workspace));
    let fair_share = queue.slots as f64 * weight / f64::from(state.total_share());
    if workspace_queue.running as f64 >= state.settings.flood_factor * fair_share {
        return true;
    }
    let relative_depth =
        |name, queue: &WorkspaceQueue| queue.depth() as f64 / f64::from(state.weight(name));
    let depths = queue
        .workspaces
        .iter()
        .map(|(name, other)| relative_depth(name, other));
    workspace_queue.depth() > 0
        && depths.fold(0.0, f64::max) <= relative_depth(workspace, workspace_queue)
}

/// Starts a call that is not in a queue.
pub(super) fn start(state: &mut AdmissionState, request: AdmissionRequest, now: ClockTime) {
    let weight = f64::from(state.weight(&request.workspace));
    let service = state.services.get_mut(&request.service);
    let service = service.expect("the service has a free slot");
    service.running += 1;
    let queue = service
        .workspaces
        .entry(request.workspace.clone())
        .or_default();
    queue.running += 1;
    let start_tag = queue.finish_tag.max(service.virtual_time);
    queue.finish_tag = start_tag + f64::from(request.cost.max(1)) / weight;
    service.virtual_time = start_tag;
    let phase = CallPhase::Running { started: now };
    state
        .calls
        .insert(request.call, CallState { request, phase });
}

/// Starts waiting calls while slots are free and returns them in order.
pub(super) fn start_queued(state: &mut AdmissionState, now: ClockTime) -> Vec<CallId> {
    let services: Vec<ServiceName> = state.services.keys().cloned().collect();
    let mut started = Vec::new();
    for service in services {
        while let Some(call) = find_next(state, &service) {
            let request = take_queued(state, call).expect("the call is waiting");
            start(state, request, now);
            started.push(call);
        }
    }
    started
}

/// Next call of the workspace with the smallest finish tag among those that may start one.
fn find_next(state: &AdmissionState, service: &ServiceName) -> Option<CallId> {
    let ready = state.services[service]
        .workspaces
        .iter()
        .filter_map(|(workspace, queue)| {
            let call = queue.front()?;
            can_start(state, service, workspace).then_some((queue.finish_tag, call))
        });
    let first = ready.min_by(|left, right| left.0.total_cmp(&right.0));
    first.map(|(_, call)| call)
}
