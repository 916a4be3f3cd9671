//! Refusals, with the time after which the caller may retry.

use base::prelude::*;
use rand::RngExt;

use crate::queries::estimate_wait;
use crate::state::CallPhase;
use crate::{AdmissionRefusalReason, AdmissionRequest, AdmissionState, CallRefusal};

/// Refusal of a call that is neither waiting nor running.
pub(super) fn refuse(
    state: &mut AdmissionState,
    request: &AdmissionRequest,
    reason: AdmissionRefusalReason,
    now: ClockTime,
) -> CallRefusal {
    let min = state.settings.retry_delay_min;
    let max = state.settings.retry_delay_max.max(min);
    let shortest = estimate_wait(state, request).clamp(min, max);
    let longest = (shortest * 3).min(max);
    let delay = state.rng.random_range(shortest..=longest);
    CallRefusal {
        call: request.call,
        reason,
        retry_at: now + delay,
    }
}

/// Refuses a waiting call; `None` if the call is not waiting.
pub(super) fn refuse_queued(
    state: &mut AdmissionState,
    call: CallId,
    reason: AdmissionRefusalReason,
    now: ClockTime,
) -> Option<CallRefusal> {
    let request = take_queued(state, call)?;
    Some(refuse(state, &request, reason, now))
}

/// Removes a waiting call from its queue; `None` if the call is not waiting.
pub(super) fn take_queued(state: &mut AdmissionState, call: CallId) -> Option<AdmissionRequest> {
    if state.calls.get(&call)?.phase != CallPhase::Queued {
        return None;
    }
    let request = state.calls.remove(&call)?.request;
    state.deadlines.remove(&(request.deadline, call));
    let service = state.services.get_mut(&request.service);
    let queue = service.and_then(|service| service.workspaces.get_mut(&request.workspace));
    if let Some(queue) = queue {
        queue.remove(request.priority, call);
    }
    Some(request)
}
