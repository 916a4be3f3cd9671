//! When the loop is next due.

use base::prelude::*;

use crate::EdgeState;

/// Instant at which something is to be done next.
pub fn next_deadline(state: &EdgeState) -> Option<ClockTime> {
    let mut next = state.digest_due;
    if state.is_owner {
        let due = plan_due(state);
        let planner = replicas::queries::next_deadline(&state.planner);
        let planner = planner.filter(|_| !state.has_news);
        next = next.min(planner.map_or(due, |at| at.max(due)));
    }
    if let Some(stop) = &state.stopping {
        let drain = stop.since + state.times.unready_span;
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

/// Instant before which the owner doesn't look at the groups again.
///
/// News brings the next look forward, but many pieces of news at once share one.
pub(crate) fn plan_due(state: &EdgeState) -> ClockTime {
    let Some(planned_at) = state.planned_at.filter(|_| state.has_news) else {
        return state.plan_due;
    };
    let count = u32::try_from(state.planner.endpoints().len()).unwrap_or(u32::MAX);
    let soon = planned_at + state.times.plan_span.saturating_mul(count);
    soon.min(state.plan_due)
}
