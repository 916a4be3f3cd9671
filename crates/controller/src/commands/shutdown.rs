//! Graceful shutdown: leases are released before the process ends.

use base::prelude::*;

use crate::state::{ControllerState, ShutdownPhase};
use crate::{ControllerEffect, queries};

/// Begins a graceful shutdown; further requests have no effect.
pub fn begin(state: &mut ControllerState, now: ClockTime) -> Vec<ControllerEffect> {
    if state.shutdown != ShutdownPhase::Running {
        return Vec::new();
    }
    let release_deadline = now + state.times.release_limit;
    state.shutdown = ShutdownPhase::Releasing { release_deadline };
    let fabrics = state.fabrics.values_mut();
    let effects = fabrics.flat_map(|fabric| fabric.release(now));
    let effects = effects.map(ControllerEffect::Fabric);
    effects.chain([ControllerEffect::Deregister]).collect()
}

/// Ends the process once every lease was released or has expired, or at the release
/// limit.
pub fn advance(state: &mut ControllerState, now: ClockTime) -> Vec<ControllerEffect> {
    let ShutdownPhase::Releasing { release_deadline } = state.shutdown else {
        return Vec::new();
    };
    if now < release_deadline && !queries::has_released(state, now) {
        return Vec::new();
    }
    state.shutdown = ShutdownPhase::Finished;
    vec![ControllerEffect::Finish]
}
