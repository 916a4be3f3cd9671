//! Servers that this node sends requests to.

use super::cold::apply_cold;
use crate::EdgeState;
use crate::queries::{current_targets, keep_cold_ends, lacks_targets};

/// Updates the relay's targets, from the node's own state or from the owner's message,
/// whichever is newer.
pub(crate) fn refresh_targets(state: &mut EdgeState) {
    let (targets, version) = current_targets(state);
    let targets = keep_cold_ends(&state.targets, targets);
    let is_newer = lacks_targets(state.targets_version, version);
    // The view is newer than a departure that others may hold against the last version.
    let last_endpoints = state.targets_version.endpoints;
    let is_confirmed = targets.iter().any(|target| {
        (state.departures).has_departed(&target.id, target.incarnation, last_endpoints)
    });
    if is_confirmed {
        state.targets_version = version;
        state.has_unsent_targets = true;
    }
    if targets != state.targets {
        // Others take targets by their version only; those that differ without a newer one are
        // sent once there is one.
        let mut all = state.targets.iter().chain(targets.iter());
        state.awaits_targets_version = !is_newer && all.any(|target| target.cold.is_some());
        state.targets_version = version;
        relay::commands::set_targets(&mut state.relay, targets.to_vec());
        state.targets = targets;
        state.has_unsent_targets = true;
    } else if state.awaits_targets_version && is_newer {
        state.awaits_targets_version = false;
        state.targets_version = version;
        state.has_unsent_targets = true;
    }
    apply_cold(state);
}

/// Sends the targets of a new owner with what it has read by now, so that they replace older ones
/// of the last owner although they haven't changed.
pub(super) fn announce_targets(state: &mut EdgeState) {
    refresh_targets(state);
    (_, state.targets_version) = current_targets(state);
    state.has_unsent_targets = true;
}
