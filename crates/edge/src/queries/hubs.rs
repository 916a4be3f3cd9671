//! Selection of hubs, the nodes that receive the digests of all others.
//!
//! In a small deployment every node sends digests to every other. In a large one
//! the number of messages would grow with the square of the number of nodes, so
//! nodes send digests only to a few hubs. Each other node chooses one of the hubs,
//! its summing hub, which sends it the sums of all counts and passes on the targets
//! of the owner. The loss of a hub concerns only the nodes that have chosen it, and
//! the loss of the owner, which is one of the hubs, only the repair of groups.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};

use base::prelude::*;

use super::owner::is_peer_alive;
use crate::EdgeState;
use crate::border::ports::StoreCollection;
use crate::peer::{Digest, TargetsVersion};
use crate::state::PeerState;

/// Largest number of nodes that all exchange digests.
const FULL_MESH_LIMIT: usize = 10;
/// Least number of hubs in a larger deployment.
const MIN_HUB_COUNT: usize = 4;
/// Largest number of hubs; every node sends its digests to each of them.
const MAX_HUB_COUNT: usize = 8;

/// Whether nodes send digests only to hubs.
pub(crate) fn uses_hubs(state: &EdgeState) -> bool {
    state.peers.len() + 1 > FULL_MESH_LIMIT
}

/// Whether this node receives the digests of all others.
pub(crate) fn is_hub(state: &EdgeState) -> bool {
    !uses_hubs(state) || state.hubs.contains(&state.settings.node)
}

/// Node that can be a hub.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct HubCandidate<'a> {
    capacity: Reverse<u32>,
    node: &'a NodeName,
    domain: Option<&'a DomainName>,
}

/// Selects the hubs without those that recently timed out as hubs: in each failure domain
/// the node with the most processing capacity, then the next ones up to the least number.
///
/// A failure domain whose nodes all have half of the largest capacity or less gets none.
pub(crate) fn select_hubs(state: &EdgeState, now: ClockTime) -> BTreeSet<NodeName> {
    let settings = &state.settings;
    let local = state.stopping.is_none().then_some(HubCandidate {
        capacity: Reverse(settings.capacity),
        node: &settings.node,
        domain: Some(&settings.domain),
    });
    let peers = (state.peers.iter()).filter(|(_, peer)| peer.excluded_until <= now);
    let peers = peers.map(|(node, peer)| HubCandidate {
        capacity: Reverse(peer.capacity),
        node,
        domain: peer.domain.as_ref(),
    });
    let mut candidates: Vec<_> = peers.chain(local).collect();
    if !uses_hubs(state) {
        return candidates
            .into_iter()
            .map(|candidate| candidate.node.clone())
            .collect();
    }
    candidates.sort();
    let largest = candidates.first().map_or(0, |first| first.capacity.0);
    // Position among the candidates of the same domain; the first of each domain come first.
    let mut positions: BTreeMap<Option<&DomainName>, usize> = BTreeMap::new();
    let mut ranked: Vec<_> = candidates
        .into_iter()
        .map(|candidate| {
            let position = positions.entry(candidate.domain).or_default();
            *position += 1;
            let is_small = candidate.capacity.0 * 2 <= largest;
            ((is_small, *position), candidate)
        })
        .collect();
    ranked.sort();
    let domain_count = ranked
        .iter()
        .filter(|((is_small, position), _)| !is_small && *position == 1)
        .count();
    let hub_count = domain_count.clamp(MIN_HUB_COUNT, MAX_HUB_COUNT);
    let hubs = ranked.into_iter().take(hub_count);
    hubs.map(|(_, candidate)| candidate.node.clone()).collect()
}

/// Hub from which this node should get the sums; `None` for a hub and in a small deployment.
///
/// A hub of the own failure domain is preferred, as its sums cross no other domain, and one
/// that doesn't own the groups, so that the loss of the owner leaves the sums alone.
pub(crate) fn choose_summing_hub(state: &EdgeState, now: ClockTime) -> Option<NodeName> {
    if !uses_hubs(state) || is_hub(state) {
        return None;
    }
    let hubs = state
        .hubs
        .iter()
        .filter_map(|hub| state.peers.get_key_value(hub));
    let usable = hubs
        .filter(|(_, peer)| is_peer_alive(state, peer, now) && peer.no_sums_until <= now)
        .filter_map(|(hub, peer)| Some((hub, peer.domain.as_ref(), peer.digest.as_ref()?)));
    let best = usable.min_by_key(|(hub, domain, digest)| {
        let is_elsewhere = *domain != Some(&state.settings.domain);
        let is_cut_off = !digest.can_own;
        (
            digest.is_owner,
            is_cut_off,
            is_elsewhere,
            pair_hash(state, hub),
        )
    });
    best.map(|(hub, ..)| hub.clone())
}

/// Order of the hubs that differs from node to node.
fn pair_hash(state: &EdgeState, hub: &NodeName) -> u64 {
    let mut hasher = DefaultHasher::new();
    (state.settings.node.as_str(), hub.as_str()).hash(&mut hasher);
    hasher.finish()
}

/// Whether this node sends the sums and the targets to another one.
///
/// A node that has not chosen a hub yet gets them from the owner.
pub(crate) fn sends_sums_to(state: &EdgeState, node: &NodeName, digest: Option<&Digest>) -> bool {
    if !uses_hubs(state) || !is_hub(state) || state.hubs.contains(node) {
        return false;
    }
    match digest.and_then(|digest| digest.summing_hub.as_ref()) {
        Some(hub) => *hub == state.settings.node,
        None => state.is_owner,
    }
}

/// Whether this node relies on an owner for the targets instead of watching the store.
///
/// It does so while another node is about to take over from an owner, and while neither a hub nor
/// this node reaches the store.
pub(crate) fn receives_targets(state: &EdgeState, now: ClockTime) -> bool {
    let has_owner = state
        .owner_seen_at
        .is_some_and(|at| now.since(at) < state.times.owner_change_timeout);
    let is_store_away = has_able_hub(state, now) == Some(false) && !reaches_store_alone(state, now);
    uses_hubs(state)
        && !is_hub(state)
        && state.received_targets.is_some()
        && (has_owner || is_store_away)
}

/// Whether any hub that this node hears can own the groups; `None` if it hears none.
pub(crate) fn has_able_hub(state: &EdgeState, now: ClockTime) -> Option<bool> {
    let hubs = state.hubs.iter().filter_map(|hub| state.peers.get(hub));
    let mut hubs = hubs
        .filter(|peer| is_peer_alive(state, peer, now))
        .peekable();
    let can_own = |peer: &PeerState| peer.digest.as_ref().is_some_and(|digest| digest.can_own);
    hubs.peek().is_some().then(|| hubs.any(can_own))
}

/// Whether the store has responded to this node for a while in which no hub could own the groups.
///
/// Hubs need a moment after an outage; if all other nodes listed the endpoints meanwhile, that
/// would take the store's link most of a second.
fn reaches_store_alone(state: &EdgeState, now: ClockTime) -> bool {
    let (Some(entry), Some(hubs_lost_at)) = (
        state.collection(StoreCollection::RoutingConfig),
        state.hubs_lost_at,
    ) else {
        return false;
    };
    let is_over = |at: ClockTime| now.since(at) >= state.times.owner_change_timeout;
    let is_recent = |at: ClockTime| at > hubs_lost_at && now.since(at) < state.times.store_timeout;
    is_over(hubs_lost_at)
        && !entry.is_unavailable
        && entry.last_response_at.is_some_and(is_recent)
        && entry.recovered_at.is_none_or(is_over)
}

/// Whether this node has to list the endpoints itself.
///
/// A node that is no hub waits a moment after its start for the targets of a hub. They are a
/// small part of the list, whose transfer to all nodes at once takes the store's link most of
/// a second.
pub(crate) fn lists_endpoints(state: &EdgeState, now: ClockTime) -> bool {
    let has_listed_nodes = state
        .collection(StoreCollection::Shared)
        .is_some_and(|entry| entry.is_listed);
    let has_waited = now.since(state.started_at) >= state.times.initial_targets_timeout;
    has_waited || (has_listed_nodes && is_hub(state))
}

/// Version of the targets that this node computes itself: the revision of the store up to which it
/// has read the endpoints, and its record.
pub(crate) fn local_targets_version(state: &EdgeState) -> TargetsVersion {
    let endpoints = read_revision(state, StoreCollection::Endpoints);
    let record = state.planner.version().unwrap_or_default();
    TargetsVersion {
        latest: endpoints.max(record),
        endpoints,
        record,
    }
}

/// Revisions of the store up to which this node knows the endpoints and the record; a record that
/// hasn't changed since is as new as what was read of the store last.
pub(crate) fn read_targets_version(state: &EdgeState) -> TargetsVersion {
    let shared = read_revision(state, StoreCollection::Shared);
    let local = local_targets_version(state);
    let record = local.record.max(shared);
    TargetsVersion { record, ..local }
}

/// The same as [`local_targets_version`], but in the form of earlier builds as of the revision up to
/// which this node knows both the endpoints and the record.
pub(crate) fn complete_targets_version(state: &EdgeState) -> TargetsVersion {
    let read = read_targets_version(state);
    TargetsVersion {
        latest: read.endpoints.min(read.record),
        ..local_targets_version(state)
    }
}

/// Revision of the store up to which a collection was read.
fn read_revision(state: &EdgeState, collection: StoreCollection) -> ObjectVersion {
    let entry = state.collection(collection);
    entry.map(|entry| entry.revision).unwrap_or_default()
}
