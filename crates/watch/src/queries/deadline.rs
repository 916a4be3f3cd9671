//! When the next read is due.

use base::prelude::*;

use crate::WatchState;

/// Earliest instant at which something is due to be read.
pub fn next_deadline(state: &WatchState) -> Option<ClockTime> {
    let timers = [
        state.document,
        state.good_sections,
        state.fabrics,
        state.listed,
        state.drained,
        state.counted,
    ];
    let reads = timers.iter().filter_map(DueTimer::due);
    let questions = state.questions.values().map(|question| question.ask_at);
    reads.chain(questions).min()
}
