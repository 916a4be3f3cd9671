//! Nodes that hear all others.
//!
//! Few nodes all tell one another. Many would drown in one another's words, so
//! each tells only some hubs, and the owner of the groups, one of the hubs,
//! tells each node what all of them need.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use base::prelude::*;

use super::owner::is_heard;
use crate::EdgeState;
use crate::border::ports::Feed;

/// Nodes up to which every one tells every other.
const FULL_LIMIT: usize = 10;
/// Hubs where there are more.
const HUB_COUNT: usize = 4;

/// Whether nodes tell only hubs.
pub(crate) fn is_star(state: &EdgeState) -> bool {
    state.peers.len() + 1 > FULL_LIMIT
}

/// Whether this node hears all others.
pub(crate) fn is_hub(state: &EdgeState) -> bool {
    !is_star(state) || state.hubs.contains(&state.settings.node)
}

/// Hubs: the nodes that can do most, without those that were silent as hubs.
pub(crate) fn hubs(state: &EdgeState, now: ClockTime) -> BTreeSet<NodeName> {
    let own = state
        .stopping
        .is_none()
        .then_some((&state.settings.node, state.settings.rank));
    let peers = state
        .peers
        .iter()
        .filter(|(_, peer)| peer.silent_until <= now);
    let peers = peers.map(|(node, peer)| (node, peer.rank));
    let mut nodes: Vec<_> = peers.chain(own).collect();
    if is_star(state) {
        nodes.sort_by_key(|(node, rank)| (Reverse(*rank), *node));
        nodes.truncate(HUB_COUNT);
    }
    nodes.into_iter().map(|(node, _)| node.clone()).collect()
}

/// Whether a hub that reaches the store tells this node of the places.
pub(crate) fn is_told(state: &EdgeState, now: ClockTime) -> bool {
    let hears_owner = || {
        state.peers.values().any(|peer| {
            let owns = peer
                .digest
                .as_ref()
                .is_some_and(|digest| digest.owns && digest.can_own);
            owns && is_heard(state, peer, now)
        })
    };
    is_star(state) && !is_hub(state) && state.told_places.is_some() && hears_owner()
}

/// Version of the places that this node works out itself: the store's revision
/// that it has read the endpoints and the record up to.
pub(crate) fn own_places_version(state: &EdgeState) -> ObjectVersion {
    let endpoints = state.feed(Feed::Endpoints).map(|known| known.revision);
    let record = state.planner.version();
    endpoints
        .unwrap_or_default()
        .max(record.unwrap_or_default())
}
