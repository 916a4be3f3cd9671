//! How long a call would wait.
//!
//! Slots free up at the rate of slots over the mean length of calls. A
//! backlogged workspace gets its share of that rate among the workspaces that
//! wait; a call waits for those of its own workspace that go before it, and
//! never for more than everything that waits.

use base::prelude::*;

use crate::state::ServiceQueue;
use crate::{AdmissionRequest, AdmissionState};

/// Longest wait that an estimate gives.
const WAIT_MAX: Duration = Duration::from_secs(3_600);

/// Time that a call would wait if it were offered now.
pub fn estimate_wait(state: &AdmissionState, request: &AdmissionRequest) -> Duration {
    let Some(queue) = state.services.get(&request.service) else {
        return WAIT_MAX;
    };
    if queue.slots == 0 {
        return WAIT_MAX;
    }
    let rate = queue.slots as f64 / queue.hold_secs.max(f64::EPSILON);
    let own = queue.workspaces.get(&request.workspace);
    let ahead = own.map_or(0, |own| own.depth_before(request.priority)) + 1;
    let by_share = ahead as f64 / own_rate(state, queue, request, rate);
    let by_total = (queue.depth() + 1) as f64 / rate;
    let secs = by_share.min(by_total).min(WAIT_MAX.as_secs_f64());
    Duration::from_secs_f64(secs)
}

fn own_rate(
    state: &AdmissionState,
    queue: &ServiceQueue,
    request: &AdmissionRequest,
    rate: f64,
) -> f64 {
    let backlogged = queue.workspaces.iter();
    let others = backlogged.filter(|(name, own)| **name != request.workspace && own.depth() > 0);
    let other_weight: u32 = others.map(|(name, _)| state.weight(name)).sum();
    let weight = f64::from(state.weight(&request.workspace));
    rate * weight / (weight + f64::from(other_weight))
}
