//! Admission of new calls.

use base::prelude::*;

use super::refuse::{refuse, refuse_queued};
use super::start::{can_start, start};
use crate::queries::{estimate_wait, queue_bound};
use crate::state::{CallPhase, CallState};
use crate::{
    AdmissionOutcome, AdmissionRefusalReason, AdmissionRequest, AdmissionState, CallRefusal,
};

/// Admits, queues or refuses a new call.
///
/// # Panics
///
/// If a call with the same number is waiting or running.
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
    if let Some(reason) = immediate_refusal(state, &request, now) {
        return AdmissionOutcome::Refused(refuse(state, &request, reason, now));
    }
    if can_start_now(state, &request) {
        start(state, request, now);
        return AdmissionOutcome::Admitted;
    }
    if now + estimate_wait(state, &request) > request.deadline {
        return AdmissionOutcome::Refused(refuse(
            state,
            &request,
            AdmissionRefusalReason::Deadline,
            now,
        ));
    }
    enqueue(state, request, now)
}

fn immediate_refusal(
    state: &AdmissionState,
    request: &AdmissionRequest,
    now: ClockTime,
) -> Option<AdmissionRefusalReason> {
    if !state.workspaces.contains_key(&request.workspace) {
        return Some(AdmissionRefusalReason::UnknownWorkspace);
    }
    let slots = state
        .services
        .get(&request.service)
        .map_or(0, |queue| queue.slots);
    if slots == 0 {
        return Some(AdmissionRefusalReason::NoCapacity);
    }
    (request.deadline < now).then_some(AdmissionRefusalReason::Deadline)
}

fn can_start_now(state: &AdmissionState, request: &AdmissionRequest) -> bool {
    let queue = &state.services[&request.service];
    let queue = queue.workspaces.get(&request.workspace);
    let is_first = queue.is_none_or(|queue| queue.depth_before(request.priority) == 0);
    is_first && can_start(state, &request.service, &request.workspace)
}

fn enqueue(
    state: &mut AdmissionState,
    request: AdmissionRequest,
    now: ClockTime,
) -> AdmissionOutcome {
    let displaced = match make_room(state, &request, now) {
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
        .insert(request.call, CallState { request, phase });
    AdmissionOutcome::Queued { displaced }
}

/// Finds room in the queue for a new call. If the queue is full, a waiting call of
/// lower priority is refused and returned; without one, the new call is refused.
fn make_room(
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
        Some(call) => Ok(refuse_queued(
            state,
            call,
            AdmissionRefusalReason::QueueFull,
            now,
        )),
        None => Err(refuse(
            state,
            request,
            AdmissionRefusalReason::QueueFull,
            now,
        )),
    }
}
