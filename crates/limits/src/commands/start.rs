//! Starts of calls in fair order.

use base::prelude::*;

use super::refuse::take_queued;
use crate::state::{CallPhase, CallRecord, ServiceQueue, WorkspaceQueue};
use crate::{AdmissionRequest, AdmissionState};

/// Whether a workspace may take one more slot of a service.
pub(super) fn can_start(
    state: &AdmissionState,
    service: &ServiceName,
    workspace: &WorkspaceName,
) -> bool {
    let Some(limit) = state.workspaces.get(workspace) else {
        return false;
    };
    let queue = &state.services[service];
    let free = queue.slots.saturating_sub(queue.running);
    if free == 0 || state.running(workspace) >= limit.call_limit {
        return false;
    }
    free > count_reserve(state, queue, workspace) || !is_flooding(state, queue, workspace)
}

/// Slots kept free for the bursts of the other workspaces that have calls.
fn count_reserve(state: &AdmissionState, queue: &ServiceQueue, workspace: &WorkspaceName) -> usize {
    let own = queue.workspaces.get(workspace).map_or(0, |own| own.running);
    let others = queue.running.saturating_sub(own) as f64;
    let burst = state.settings.reserve_burst * others.sqrt();
    let most = state.settings.reserve_share * queue.slots as f64;
    burst.min(most).round() as usize
}

/// Whether a workspace runs far beyond its share or has the longest queue for it.
fn is_flooding(state: &AdmissionState, queue: &ServiceQueue, workspace: &WorkspaceName) -> bool {
    let Some(own) = queue.workspaces.get(workspace) else {
        return false;
    };
    let weight = f64::from(state.weight(workspace));
    let even = queue.slots as f64 * weight / f64::from(state.total_share());
    if own.running as f64 >= state.settings.flood_factor * even {
        return true;
    }
    let length = |name, own: &WorkspaceQueue| own.depth() as f64 / f64::from(state.weight(name));
    let lengths = queue
        .workspaces
        .iter()
        .map(|(name, other)| length(name, other));
    own.depth() > 0 && lengths.fold(0.0, f64::max) <= length(workspace, own)
}

/// Starts a call that isn't waiting.
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
        .insert(request.call, CallRecord { request, phase });
}

/// Starts waiting calls while slots are free; returns them in order.
pub(super) fn start_queued(state: &mut AdmissionState, now: ClockTime) -> Vec<CallId> {
    let services: Vec<ServiceName> = state.services.keys().cloned().collect();
    let mut started = Vec::new();
    for service in services {
        while let Some(call) = find_next(state, &service) {
            let request = take_queued(state, call).expect("the call waits");
            start(state, request, now);
            started.push(call);
        }
    }
    started
}

/// Waiting call of the workspace with the smallest tag.
fn find_next(state: &AdmissionState, service: &ServiceName) -> Option<CallId> {
    let ready = state.services[service]
        .workspaces
        .iter()
        .filter_map(|(workspace, own)| {
            let call = own.front()?;
            can_start(state, service, workspace).then_some((own.finish_tag, call))
        });
    let first = ready.min_by(|left, right| left.0.total_cmp(&right.0));
    first.map(|(_, call)| call)
}
