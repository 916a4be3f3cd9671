//! A new call.

use base::prelude::*;

use super::refuse::{drop_queued, refuse};
use super::start::{can_start, start};
use crate::queries::{estimate_wait, queue_bound};
use crate::state::{CallPhase, CallRecord};
use crate::{AdmissionOutcome, AdmissionRequest, AdmissionState, CallRefusal, RefusalReason};

/// Offers a call; it is admitted, made to wait, or refused.
pub fn offer(
    state: &mut AdmissionState,
    request: AdmissionRequest,
    now: ClockTime,
) -> AdmissionOutcome {
    assert!(
        !state.calls.contains_key(&request.call),
        "call {} was offered twice",
        request.call
    );
    if let Some(reason) = find_obstacle(state, &request, now) {
        return AdmissionOutcome::Refused(refuse(state, &request, reason, now));
    }
    if starts_at_once(state, &request) {
        start(state, request, now);
        return AdmissionOutcome::Admitted;
    }
    if now + estimate_wait(state, &request) > request.deadline {
        return AdmissionOutcome::Refused(refuse(state, &request, RefusalReason::Deadline, now));
    }
    enqueue(state, request, now)
}

fn find_obstacle(
    state: &AdmissionState,
    request: &AdmissionRequest,
    now: ClockTime,
) -> Option<RefusalReason> {
    if !state.workspaces.contains_key(&request.workspace) {
        return Some(RefusalReason::UnknownWorkspace);
    }
    let slots = state
        .services
        .get(&request.service)
        .map_or(0, |queue| queue.slots);
    if slots == 0 {
        return Some(RefusalReason::NoCapacity);
    }
    (request.deadline < now).then_some(RefusalReason::Deadline)
}

fn starts_at_once(state: &AdmissionState, request: &AdmissionRequest) -> bool {
    let queue = &state.services[&request.service];
    let waiting = queue.workspaces.get(&request.workspace);
    let first = waiting.is_none_or(|waiting| waiting.depth_before(request.priority) == 0);
    first && can_start(state, &request.service, &request.workspace)
}

fn enqueue(
    state: &mut AdmissionState,
    request: AdmissionRequest,
    now: ClockTime,
) -> AdmissionOutcome {
    let displaced = match find_place(state, &request, now) {
        Ok(displaced) => displaced,
        Err(refusal) => return AdmissionOutcome::Refused(refusal),
    };
    let service = state.services.get_mut(&request.service);
    let service = service.expect("the service has slots");
    let virtual_time = service.virtual_time;
    let queue = service
        .workspaces
        .entry(request.workspace.clone())
        .or_default();
    if queue.depth() == 0 {
        queue.finish_tag = queue.finish_tag.max(virtual_time);
    }
    let lane = queue.lanes.entry(request.priority).or_default();
    lane.push_back(request.call);
    state.deadlines.insert((request.deadline, request.call));
    let phase = CallPhase::Queued;
    state
        .calls
        .insert(request.call, CallRecord { request, phase });
    AdmissionOutcome::Queued { displaced }
}

/// Makes room for a newcomer, at the cost of a lower priority if need be.
fn find_place(
    state: &mut AdmissionState,
    request: &AdmissionRequest,
    now: ClockTime,
) -> Result<Option<CallRefusal>, CallRefusal> {
    let queue = state.services[&request.service]
        .workspaces
        .get(&request.workspace);
    let depth = queue.map_or(0, |queue| queue.depth());
    if depth < queue_bound(state, &request.workspace) {
        return Ok(None);
    }
    match queue.and_then(|queue| queue.last_below(request.priority)) {
        Some(call) => Ok(drop_queued(state, call, RefusalReason::QueueFull, now)),
        None => Err(refuse(state, request, RefusalReason::QueueFull, now)),
    }
}
