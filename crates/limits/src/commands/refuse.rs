//! Refusals and the time after which their callers may return.

use base::prelude::*;
use rand::RngExt;

use crate::queries::estimate_wait;
use crate::state::CallPhase;
use crate::{AdmissionRequest, AdmissionState, CallRefusal, RefusalReason};

/// Refuses a call that isn't in the state.
pub(super) fn refuse(
    state: &mut AdmissionState,
    request: &AdmissionRequest,
    reason: RefusalReason,
    now: ClockTime,
) -> CallRefusal {
    let min = state.settings.retry_min;
    let max = state.settings.retry_max.max(min);
    let base = estimate_wait(state, request).clamp(min, max);
    let spread = (base * 3).min(max);
    let delay = state.rng.random_range(base..=spread);
    CallRefusal {
        call: request.call,
        reason,
        retry_at: now + delay,
    }
}

/// Refuses a waiting call; none if the call isn't waiting.
pub(super) fn drop_queued(
    state: &mut AdmissionState,
    call: CallId,
    reason: RefusalReason,
    now: ClockTime,
) -> Option<CallRefusal> {
    let request = take_queued(state, call)?;
    Some(refuse(state, &request, reason, now))
}

/// Takes a waiting call out of its queue.
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
