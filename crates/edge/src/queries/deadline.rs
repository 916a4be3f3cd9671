//! Deadlines of the event loop.

use base::prelude::*;

use crate::EdgeState;

/// Instant at which the next timer is due.
pub fn next_deadline(state: &EdgeState) -> Option<ClockTime> {
    let mut next = state.digest_due;
    if let Some(due) = state.evidence_due {
        next = next.min(due);
    }
    if let Some(due) = state.targets_due {
        next = next.min(due);
    }
    if let Some(due) = state.quarantine.verdict_due() {
        next = next.min(due);
    }
    if let Some(due) = reach::queries::next_trial(&state.reach) {
        next = next.min(due);
    }
    if let Some(expiry) = replicas::queries::next_expiry(&state.planner) {
        next = next.min(expiry);
    }
    if state.is_owner || state.is_prober {
        let due = next_plan(state);
        let planner = replicas::queries::next_deadline(&state.planner);
        let planner = planner.filter(|_| !state.needs_plan);
        next = next.min(planner.map_or(due, |at| at.max(due)));
    }
    if let Some(stop) = &state.stopping {
        let drain = stop.since + state.times.readiness_propagation_delay;
        let grace = state
            .settings
            .bounds
            .grace
            .saturating_sub(state.times.exit_margin);
        next = next.min(if stop.is_draining {
            stop.since + grace
        } else {
            drain
        });
    }
    Some(next)
}

/// Instant of the planner's next run.
///
/// Events bring the next run forward, but several events within the shortest interval
/// share one run.
pub(crate) fn next_plan(state: &EdgeState) -> ClockTime {
    let Some(last_plan_at) = state.last_plan_at.filter(|_| state.needs_plan) else {
        return state.plan_due;
    };
    let count = u32::try_from(state.planner.endpoints().len()).unwrap_or(u32::MAX);
    let earliest = last_plan_at
        + state
            .times
            .min_plan_interval_per_endpoint
            .saturating_mul(count);
    earliest.min(state.plan_due)
}
