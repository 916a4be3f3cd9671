//! When the controller next has something to do.

use base::prelude::*;

use crate::ControllerState;
use crate::state::StopPhase;

/// Earliest deadline of the state.
pub fn next_deadline(state: &ControllerState) -> Option<ClockTime> {
    let reads = watch::queries::next_deadline(&state.watch);
    let fabrics = state.fabrics.values().map(|fabric| fabric.next_deadline());
    let stop = match state.stop {
        StopPhase::Releasing { finish_by } => Some(finish_by),
        StopPhase::Running | StopPhase::Finished => None,
    };
    fabrics.chain([reads, stop]).flatten().min()
}
