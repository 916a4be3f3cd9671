//! Selection of hubs, the nodes that receive the digests of all others.
//!
//! In a small deployment every node sends digests to every other. In a large one
//! the number of messages would grow with the square of the number of nodes, so
//! nodes send digests only to a few hubs, and the owner of the groups, one of the
//! hubs, sends the sums and the targets to all nodes.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use base::prelude::*;

use super::owner::is_peer_alive;
use crate::EdgeState;
use crate::border::ports::StoreCollection;

/// Largest number of nodes that all exchange digests.
const FULL_MESH_LIMIT: usize = 10;
/// Number of hubs in a larger deployment.
const HUB_COUNT: usize = 4;

/// Whether nodes send digests only to hubs.
pub(crate) fn uses_hubs(state: &EdgeState) -> bool {
    state.peers.len() + 1 > FULL_MESH_LIMIT
}

/// Whether this node receives the digests of all others.
pub(crate) fn is_hub(state: &EdgeState) -> bool {
    !uses_hubs(state) || state.hubs.contains(&state.settings.node)
}

/// Selects the hubs: the nodes with the most processing capacity, without those that
/// recently timed out as hubs.
pub(crate) fn select_hubs(state: &EdgeState, now: ClockTime) -> BTreeSet<NodeName> {
    let local = state
        .stopping
        .is_none()
        .then_some((&state.settings.node, state.settings.capacity));
    let peers = state
        .peers
        .iter()
        .filter(|(_, peer)| peer.excluded_until <= now);
    let peers = peers.map(|(node, peer)| (node, peer.capacity));
    let mut nodes: Vec<_> = peers.chain(local).collect();
    if uses_hubs(state) {
        nodes.sort_by_key(|(node, capacity)| (Reverse(*capacity), *node));
        nodes.truncate(HUB_COUNT);
    }
    nodes.into_iter().map(|(node, _)| node.clone()).collect()
}

/// Whether an owner that reaches the store sends this node the targets.
pub(crate) fn receives_targets(state: &EdgeState, now: ClockTime) -> bool {
    let is_owner_alive = || {
        state.peers.values().any(|peer| {
            let is_owner = peer
                .digest
                .as_ref()
                .is_some_and(|digest| digest.is_owner && digest.can_own);
            is_owner && is_peer_alive(state, peer, now)
        })
    };
    uses_hubs(state) && !is_hub(state) && state.received_targets.is_some() && is_owner_alive()
}

/// Version of the targets that this node computes itself: the revision of the store
/// up to which it has read the endpoints and the record.
pub(crate) fn local_targets_version(state: &EdgeState) -> ObjectVersion {
    let endpoints = state
        .collection(StoreCollection::Endpoints)
        .map(|entry| entry.revision);
    let record = state.planner.version();
    endpoints
        .unwrap_or_default()
        .max(record.unwrap_or_default())
}
