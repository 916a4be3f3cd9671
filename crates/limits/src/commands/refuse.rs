//! Refusals, with the time after which the caller may retry.

use base::prelude::*;
use rand::RngExt;

use crate::queries::estimate_wait;
use crate::state::CallPhase;
use crate::{AdmissionState, CallRefusal, CallTicket, RefusalReason};

/// Refusal of a call that is neither waiting nor running.
pub(super) fn refuse(
    state: &mut AdmissionState,
    ticket: &CallTicket,
    reason: RefusalReason,
    now: ClockTime,
) -> CallRefusal {
    let min = state.settings.retry_delay_min;
    let max = state.settings.retry_delay_max.max(min);
    let base = estimate_wait(state, ticket).clamp(min, max);
    let spread = (base * 3).min(max);
    let delay = state.rng.random_range(base..=spread);
    CallRefusal {
        call: ticket.call,
        reason,
        retry_at: now + delay,
    }
}

/// Refuses a waiting call; `None` if the call is not waiting.
pub(super) fn drop_queued(
    state: &mut AdmissionState,
    call: CallId,
    reason: RefusalReason,
    now: ClockTime,
) -> Option<CallRefusal> {
    let ticket = take_queued(state, call)?;
    Some(refuse(state, &ticket, reason, now))
}

/// Removes a waiting call from its queue; `None` if the call is not waiting.
pub(super) fn take_queued(state: &mut AdmissionState, call: CallId) -> Option<CallTicket> {
    if state.calls.get(&call)?.phase != CallPhase::Queued {
        return None;
    }
    let ticket = state.calls.remove(&call)?.ticket;
    state.deadlines.remove(&(ticket.deadline, call));
    let service = state.services.get_mut(&ticket.service);
    let queue = service.and_then(|service| service.workspaces.get_mut(&ticket.workspace));
    if let Some(queue) = queue {
        queue.remove(ticket.priority, call);
    }
    Some(ticket)
}
