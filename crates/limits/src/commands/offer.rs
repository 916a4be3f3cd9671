//! Admission of new calls.

use base::prelude::*;

use super::refuse::{drop_queued, refuse};
use super::start::{can_start, start};
use crate::queries::{estimate_wait, queue_bound};
use crate::state::{CallPhase, CallRecord};
use crate::{AdmissionOutcome, AdmissionState, CallRefusal, CallTicket, RefusalReason};

/// Admits, queues or refuses a new call.
///
/// # Panics
///
/// If a call with the same number is waiting or running.
pub fn offer(state: &mut AdmissionState, ticket: CallTicket, now: ClockTime) -> AdmissionOutcome {
    assert!(
        !state.calls.contains_key(&ticket.call),
        "call {} was offered twice",
        ticket.call
    );
    if let Some(reason) = immediate_refusal(state, &ticket, now) {
        return AdmissionOutcome::Refused(refuse(state, &ticket, reason, now));
    }
    if can_start_now(state, &ticket) {
        start(state, ticket, now);
        return AdmissionOutcome::Admitted;
    }
    if now + estimate_wait(state, &ticket) > ticket.deadline {
        return AdmissionOutcome::Refused(refuse(state, &ticket, RefusalReason::Deadline, now));
    }
    enqueue(state, ticket, now)
}

fn immediate_refusal(
    state: &AdmissionState,
    ticket: &CallTicket,
    now: ClockTime,
) -> Option<RefusalReason> {
    if !state.workspaces.contains_key(&ticket.workspace) {
        return Some(RefusalReason::UnknownWorkspace);
    }
    let slots = state
        .services
        .get(&ticket.service)
        .map_or(0, |queue| queue.slots);
    if slots == 0 {
        return Some(RefusalReason::NoCapacity);
    }
    (ticket.deadline < now).then_some(RefusalReason::Deadline)
}

fn can_start_now(state: &AdmissionState, ticket: &CallTicket) -> bool {
    let queue = &state.services[&ticket.service];
    let waiting = queue.workspaces.get(&ticket.workspace);
    let first = waiting.is_none_or(|waiting| waiting.depth_before(ticket.priority) == 0);
    first && can_start(state, &ticket.service, &ticket.workspace)
}

fn enqueue(state: &mut AdmissionState, ticket: CallTicket, now: ClockTime) -> AdmissionOutcome {
    let displaced = match make_room(state, &ticket, now) {
        Ok(displaced) => displaced,
        Err(refusal) => return AdmissionOutcome::Refused(refusal),
    };
    let service = state.services.get_mut(&ticket.service);
    let service = service.expect("the service has slots");
    let virtual_time = service.virtual_time;
    let queue = service
        .workspaces
        .entry(ticket.workspace.clone())
        .or_default();
    if queue.depth() == 0 {
        queue.finish_tag = queue.finish_tag.max(virtual_time);
    }
    let lane = queue.lanes.entry(ticket.priority).or_default();
    lane.push_back(ticket.call);
    state.deadlines.insert((ticket.deadline, ticket.call));
    let phase = CallPhase::Queued;
    state
        .calls
        .insert(ticket.call, CallRecord { ticket, phase });
    AdmissionOutcome::Queued { displaced }
}

/// Finds room in the queue for a new call. If the queue is full, a waiting call of
/// lower priority is refused and returned; without one, the new call is refused.
fn make_room(
    state: &mut AdmissionState,
    ticket: &CallTicket,
    now: ClockTime,
) -> Result<Option<CallRefusal>, CallRefusal> {
    let queue = state.services[&ticket.service]
        .workspaces
        .get(&ticket.workspace);
    let depth = queue.map_or(0, |queue| queue.depth());
    if depth < queue_bound(state, &ticket.workspace) {
        return Ok(None);
    }
    match queue.and_then(|queue| queue.last_below(ticket.priority)) {
        Some(call) => Ok(drop_queued(state, call, RefusalReason::QueueFull, now)),
        None => Err(refuse(state, ticket, RefusalReason::QueueFull, now)),
    }
}
