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

/// Whether the configuration in force misses no good section.
///
/// A process that has a section left out may never have seen its good version.
/// Until the stored good sections were looked at, it must not take a name for
/// gone.
pub fn is_resolved(state: &ConfigState) -> bool {
    was_ever_resolved(state) && state.resolved_version == state.in_force.version
}

/// Whether the configuration was settled at least once.
pub fn was_ever_resolved(state: &ConfigState) -> bool {
    state.resolved_version > ObjectVersion(0)
}
