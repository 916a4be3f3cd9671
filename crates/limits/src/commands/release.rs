//! Release of a call's slot.

use base::prelude::*;

use super::expire::expire;
use crate::state::CallPhase;
use crate::{AdmissionState, QueueChange};

/// Ends a running call and starts waiting calls in the free slot.
pub fn release(state: &mut AdmissionState, call: CallId, now: ClockTime) -> QueueChange {
    if let Some(ended) = free_slot(state, call) {
        let (service, started) = ended;
        update_mean_duration(state, &service, now.since(started));
    }
    expire(state, now)
}

/// Releases the slot of a running call and returns its service and start;
/// `None` if the call is not running.
pub(super) fn free_slot(
    state: &mut AdmissionState,
    call: CallId,
) -> Option<(ServiceName, ClockTime)> {
    let CallPhase::Running { started } = state.calls.get(&call)?.phase else {
        return None;
    };
    let request = state.calls.remove(&call)?.request;
    if let Some(service) = state.services.get_mut(&request.service) {
        service.running -= 1;
        if let Some(queue) = service.workspaces.get_mut(&request.workspace) {
            queue.running -= 1;
        }
    }
    Some((request.service, started))
}

fn update_mean_duration(state: &mut AdmissionState, service: &ServiceName, duration: Duration) {
    let weight = state.settings.duration_weight;
    if let Some(queue) = state.services.get_mut(service) {
        queue.mean_call_secs += weight * (duration.as_secs_f64() - queue.mean_call_secs);
    }
}
