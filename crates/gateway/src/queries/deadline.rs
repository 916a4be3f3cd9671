//! When the gateway next has something to do.

use base::prelude::*;

use crate::GatewayState;
use crate::state::StopPhase;

/// Earliest deadline of the state.
pub fn next_deadline(state: &GatewayState) -> Option<ClockTime> {
    let reads = watch::queries::next_deadline(&state.watch);
    let answers = state.reports.values().map(|timed| timed.valid_until).min();
    let stop = match state.stop {
        StopPhase::Noticing { accept_until } => Some(accept_until),
        StopPhase::Draining { finish_by, .. } => Some(finish_by),
        StopPhase::Running | StopPhase::Finished => None,
    };
    let queues = limits::queries::next_deadline(&state.admission);
    let ledger = state.ledger.next_deadline();
    let deadlines = [reads, answers, stop, queues, ledger];
    deadlines.into_iter().flatten().min()
}
