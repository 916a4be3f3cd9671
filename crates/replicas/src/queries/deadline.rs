//! Next deadline of the planner.

use base::prelude::*;

use crate::PlannerState;

/// Instant of the next planning pass if no event comes earlier; `None` if nothing is pending.
pub fn next_deadline(state: &PlannerState) -> Option<ClockTime> {
    let views = state.endpoints.values();
    let dues = views.flat_map(|view| {
        let probe =
            (!view.probe.is_in_flight && view.endpoint.fabric.is_some()).then_some(view.probe.due);
        let order = view.pending.as_ref().and_then(|pending| pending.retry_at);
        [probe, order, view.expires_at]
    });
    let closing = state
        .closing
        .values()
        .map(|&since| since + state.settings.close_timeout);
    let write = state
        .pending_record
        .is_none()
        .then_some(state.next_write_at);
    dues.flatten().chain(closing).chain(write).min()
}
