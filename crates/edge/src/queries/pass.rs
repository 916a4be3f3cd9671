//! Nodes that could pass this node's requests on.

use reach::PassCandidate;

use base::prelude::*;

use super::hubs::uses_hubs;
use super::owner::is_peer_alive;
use crate::EdgeState;

/// Other nodes that may reach servers.
///
/// A node that is no hub hears only the hubs, so it takes all others for usable until one turns
/// out not to be.
pub(crate) fn pass_candidates(state: &EdgeState, now: ClockTime) -> Vec<PassCandidate> {
    let peers = state.peers.iter().filter(|(node, peer)| {
        let is_usable = match &peer.digest {
            Some(digest) => !digest.is_cut_off && is_peer_alive(state, peer, now),
            None => uses_hubs(state) && !state.hubs.contains(*node),
        };
        peer.passing.is_some() && is_usable
    });
    let candidates = peers.map(|(node, peer)| PassCandidate {
        node: node.clone(),
        is_near: peer.domain.as_ref() == Some(&state.settings.domain),
    });
    candidates.collect()
}
