//! When the controller next has something to do.

use base::prelude::*;

use crate::ControllerState;
use crate::state::StopPhase;

/// Earliest deadline of the state.
pub fn next_deadline(state: &ControllerState) -> Option<ClockTime> {
    let polls = &state.polls;
    let reads = [
        polls.document,
        polls.good_sections,
        polls.fabrics,
        polls.hosts,
        polls.drains,
    ];
    let questions = polls.reports.values().copied().map(Some);
    let fabrics = state.fabrics.values().map(|fabric| fabric.next_deadline());
    let stop = match state.stop {
        StopPhase::Releasing { finish_by } => Some(finish_by),
        StopPhase::Running | StopPhase::Finished => None,
    };
    reads
        .iter()
        .map(DueTimer::due)
        .chain(questions)
        .chain(fabrics)
        .chain([stop])
        .flatten()
        .min()
}
