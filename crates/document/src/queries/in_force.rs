use base::prelude::*;

use crate::{ConfigState, InForce};

/// Configuration in force.
pub fn in_force(state: &ConfigState) -> Arc<InForce> {
    Arc::clone(&state.in_force)
}

/// Whether the newest version known to exist is in force.
pub fn is_newest(state: &ConfigState) -> bool {
    state.in_force.version >= state.floor && state.in_force.version > ObjectVersion(0)
}
