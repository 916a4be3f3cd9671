//! What this node knows of evacuated failure domains, and who reads them.

use base::prelude::*;
use evacuation::EvacuationSet;
use evacuation::queries::{current_set, is_known};

use super::hubs::is_hub;
use super::owner::is_peer_alive;
use crate::EdgeState;
use crate::state::PeerState;

/// Set for messages to other nodes; `None` if the settings don't ask for evacuations.
pub(crate) fn sent_evacuations(state: &EdgeState) -> Option<EvacuationSet> {
    state.settings.bounds.evacuate?;
    current_set(&state.evacuations).cloned()
}

/// Whether this node has to read the evacuations in the store: a hub does, and any other node
/// while no hub that reaches the store tells it. Hubs of an earlier build never do.
pub(crate) fn watches_evacuations(state: &EdgeState, now: ClockTime) -> bool {
    if state.settings.bounds.evacuate.is_none() {
        return false;
    }
    let tells = |peer: &PeerState| {
        let digest = peer.digest.as_ref();
        digest.is_some_and(|digest| digest.can_own && digest.evacuations.is_some())
            && is_peer_alive(state, peer, now)
    };
    let mut hubs = state.hubs.iter().filter_map(|hub| state.peers.get(hub));
    is_hub(state) || !hubs.any(tells)
}

/// Whether this node may send requests as far as evacuations are concerned.
///
/// A node that has just started must not send to a domain that was evacuated before. One that has
/// learned nothing within the bound reaches neither the store nor other nodes of this build.
pub(crate) fn may_send(state: &EdgeState, now: ClockTime) -> bool {
    let Some(bound) = state.settings.bounds.evacuate else {
        return true;
    };
    is_known(&state.evacuations) || now.since(state.started_at) >= bound
}
