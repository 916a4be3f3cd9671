//! Instant at which the next read is due.

use base::prelude::*;

use crate::WatchState;

/// Earliest instant at which a read is due; `None` if none is scheduled.
pub fn next_deadline(state: &WatchState) -> Option<ClockTime> {
    let timers = [
        state.document_timer,
        state.good_sections_timer,
        state.fabrics_timer,
        state.hosts_timer,
        state.drains_timer,
        state.gateways_timer,
    ];
    let reads = timers.iter().filter_map(DueTimer::due);
    let polls = state.polls.values().map(|poll| poll.next_at);
    reads.chain(polls).min()
}
