//! When the gateway next has something to do.

use base::prelude::*;

use crate::GatewayState;
use crate::state::StopPhase;

/// Earliest deadline of the state.
pub fn next_deadline(state: &GatewayState) -> Option<ClockTime> {
    let polls = &state.polls;
    let reads = [
        polls.document,
        polls.good_sections,
        polls.fabrics,
        polls.hosts,
        polls.drains,
    ];
    let questions = polls.reports.values().copied().map(Some);
    let answers = state.reports.values().map(|timed| Some(timed.valid_until));
    let stop = match state.stop {
        StopPhase::Noticing { accept_until } => Some(accept_until),
        StopPhase::Draining { finish_by } => Some(finish_by),
        StopPhase::Running | StopPhase::Finished => None,
    };
    let queues = limits::queries::next_deadline(&state.admission);
    let ledger = state.ledger.next_deadline();
    reads
        .iter()
        .map(DueTimer::due)
        .chain(questions)
        .chain(answers)
        .chain([stop, queues, ledger])
        .flatten()
        .min()
}
