//! Servers that this node sends requests to.

use crate::EdgeState;
use crate::queries::current_targets;

/// Updates the relay's targets, from the node's own state or from the owner's message,
/// whichever is newer.
pub(crate) fn refresh_targets(state: &mut EdgeState) {
    let (targets, version) = current_targets(state);
    if targets != state.targets {
        state.targets_version = version;
        relay::commands::set_targets(&mut state.relay, targets.to_vec());
        state.targets = targets;
        state.has_unsent_targets = true;
    }
}

/// Sends the targets of a new owner with what it has read by now, so that they replace older ones
/// of the last owner although they haven't changed.
pub(super) fn announce_targets(state: &mut EdgeState) {
    refresh_targets(state);
    (_, state.targets_version) = current_targets(state);
    state.has_unsent_targets = true;
}
