//! Reload of the settings.

use super::evacuations::apply_evacuated_domains;
use super::{refresh_targets, update_retry_budget};
use crate::{EdgeEffect, EdgeSettings, EdgeState};

/// Applies the changed settings that don't need a restart.
pub(crate) fn reload(state: &mut EdgeState, settings: EdgeSettings) -> Vec<EdgeEffect> {
    log::info!(before:? = state.settings.bounds, after:? = settings.bounds; "settings changed");
    let EdgeSettings {
        ingress,
        ready,
        peers,
        store,
        ..
    } = settings;
    let current = &state.settings;
    if (ingress, ready, peers, store)
        != (current.ingress, current.ready, current.peers, current.store)
    {
        log::warn!("address in the settings changed: it takes effect after a restart");
    }
    let had_evacuations = state.settings.bounds.evacuate.is_some();
    state.settings.bounds = settings.bounds;
    update_retry_budget(state);
    // What cold servers may receive may have changed.
    refresh_targets(state);
    if had_evacuations == state.settings.bounds.evacuate.is_some() {
        return Vec::new();
    }
    apply_evacuated_domains(state)
}
