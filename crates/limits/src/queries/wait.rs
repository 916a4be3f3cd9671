//! Estimate of a call's waiting time.
//!
//! Slots become free at a rate of slots divided by the mean duration of calls. A
//! workspace with waiting calls gets a share of that rate by its weight among all
//! such workspaces. A call waits for the calls of its workspace that go before it,
//! but never longer than until all waiting calls have started.

use base::prelude::*;

use crate::state::ServiceQueue;
use crate::{AdmissionRequest, AdmissionState};

/// Upper bound of the estimate, also used if the service has no slots.
const WAIT_MAX: Duration = Duration::from_secs(3_600);

/// Estimated waiting time of a call that is offered now.
pub fn estimate_wait(state: &AdmissionState, request: &AdmissionRequest) -> Duration {
    let Some(queue) = state.services.get(&request.service) else {
        return WAIT_MAX;
    };
    if queue.slots == 0 {
        return WAIT_MAX;
    }
    let rate = queue.slots as f64 / queue.mean_call_secs.max(f64::EPSILON);
    let workspace_queue = queue.workspaces.get(&request.workspace);
    let ahead = workspace_queue.map_or(0, |queue| queue.depth_before(request.priority)) + 1;
    let by_share = ahead as f64 / workspace_rate(state, queue, request, rate);
    let by_total = (queue.depth() + 1) as f64 / rate;
    let secs = by_share.min(by_total).min(WAIT_MAX.as_secs_f64());
    Duration::from_secs_f64(secs)
}

fn workspace_rate(
    state: &AdmissionState,
    queue: &ServiceQueue,
    request: &AdmissionRequest,
    rate: f64,
) -> f64 {
    let backlogged = queue.workspaces.iter();
    let others =
        backlogged.filter(|(name, other)| **name != request.workspace && other.depth() > 0);
    let other_weight: u32 = others.map(|(name, _)| state.weight(name)).sum();
    let weight = f64::from(state.weight(&request.workspace));
    rate * weight / (weight + f64::from(other_weight))
}
