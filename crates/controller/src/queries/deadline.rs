//! Next deadline of the controller.

use base::prelude::*;

use crate::ControllerState;
use crate::state::ShutdownPhase;

/// Earliest deadline of the controller's state; `None` if nothing is due.
pub fn next_deadline(state: &ControllerState) -> Option<ClockTime> {
    let reads = watch::queries::next_deadline(&state.watch);
    let fabrics = state.fabrics.values().map(|fabric| fabric.next_deadline());
    let shutdown = match state.shutdown {
        ShutdownPhase::Releasing { release_deadline } => Some(release_deadline),
        ShutdownPhase::Running | ShutdownPhase::Finished => None,
    };
    fabrics.chain([reads, shutdown]).flatten().min()
}
