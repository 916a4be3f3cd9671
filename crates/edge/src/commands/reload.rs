//! Reload of the settings.

use crate::state::budget_of;
use crate::{EdgeSettings, EdgeState};

/// Applies the changed settings that don't need a restart.
pub(crate) fn reload(state: &mut EdgeState, settings: EdgeSettings) {
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
    state.relay.set_budget(budget_of(&settings.bounds));
    state.settings.bounds = settings.bounds;
}
