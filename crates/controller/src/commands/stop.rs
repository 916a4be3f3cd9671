//! A planned stop: leases go back before the process ends.

use base::prelude::*;

use crate::state::{ControllerState, StopPhase};
use crate::{ControllerEffect, queries};

/// Begins a planned stop; asking again changes nothing.
pub fn request(state: &mut ControllerState, now: ClockTime) -> Vec<ControllerEffect> {
    if state.stop != StopPhase::Running {
        return Vec::new();
    }
    let finish_by = now + state.times.release_limit;
    state.stop = StopPhase::Releasing { finish_by };
    let fabrics = state.fabrics.values_mut();
    let effects = fabrics.flat_map(|fabric| fabric.release(now));
    let effects = effects.map(ControllerEffect::Fabric);
    effects.chain([ControllerEffect::Withdraw]).collect()
}

/// Ends the process once every lease is given back or has run out.
pub fn advance(state: &mut ControllerState, now: ClockTime) -> Vec<ControllerEffect> {
    let StopPhase::Releasing { finish_by } = state.stop else {
        return Vec::new();
    };
    if now < finish_by && !queries::has_released(state, now) {
        return Vec::new();
    }
    state.stop = StopPhase::Finished;
    vec![ControllerEffect::Finish]
}
