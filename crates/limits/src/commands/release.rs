//! The end of a running call.

use base::prelude::*;

use super::expire::expire;
use crate::state::CallPhase;
use crate::{AdmissionState, QueueChange};

/// Ends a running call; its slot goes to the call that is next.
pub fn release(state: &mut AdmissionState, call: CallId, now: ClockTime) -> QueueChange {
    if let Some(started) = free_slot(state, call) {
        let (service, started) = started;
        learn_hold(state, &service, now.since(started));
    }
    expire(state, now)
}

/// Gives a running call's slot back; returns its service and start.
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

fn learn_hold(state: &mut AdmissionState, service: &ServiceName, hold: Duration) {
    let weight = state.settings.hold_weight;
    if let Some(queue) = state.services.get_mut(service) {
        queue.hold_secs += weight * (hold.as_secs_f64() - queue.hold_secs);
    }
}
