use base::prelude::*;

use crate::{ConfigInForce, ConfigState};

/// Configuration in force, shared.
pub fn in_force(state: &ConfigState) -> Arc<ConfigInForce> {
    Arc::clone(&state.in_force)
}

/// Whether the version in force is the newest one known to exist.
///
/// False before a document was accepted.
pub fn is_newest(state: &ConfigState) -> bool {
    state.in_force.version >= state.floor && state.in_force.version > ObjectVersion(0)
}

/// Whether no last good section is missing from the configuration in force.
///
/// A section that is left out may have a last good version that this process
/// never read. Until the stored ones were looked up, a name missing from the
/// configuration must not be treated as removed.
pub fn is_resolved(state: &ConfigState) -> bool {
    was_ever_resolved(state) && state.resolved_version == state.in_force.version
}

/// Whether a configuration was resolved in this sense at least once.
pub fn was_ever_resolved(state: &ConfigState) -> bool {
    state.resolved_version > ObjectVersion(0)
}
