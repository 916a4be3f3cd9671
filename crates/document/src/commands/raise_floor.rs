use base::prelude::*;

use crate::ConfigState;

/// Raises the floor to a version known to exist; returns whether the version in
/// force is older than the floor.
pub fn raise_floor(state: &mut ConfigState, version: ObjectVersion) -> bool {
    state.floor = state.floor.max(version);
    state.in_force.version < state.floor
}
