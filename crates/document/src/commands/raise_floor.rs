use base::prelude::*;

use crate::ConfigState;

/// Notes that a version exists; returns whether the process now lags behind.
pub fn raise_floor(state: &mut ConfigState, version: ObjectVersion) -> bool {
    state.floor = state.floor.max(version);
    state.in_force.version < state.floor
}
