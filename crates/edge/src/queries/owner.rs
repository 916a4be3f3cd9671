//! Ownership of the groups.

use std::cmp::Reverse;

use base::prelude::*;

use super::hubs::{is_hub, uses_hubs};
use crate::EdgeState;
use crate::border::ports::StoreCollection;
use crate::state::PeerState;

/// Whether the store has responded to this node recently.
fn is_store_available(state: &EdgeState, now: ClockTime) -> bool {
    let is_watched = |collection| {
        let entry = state.collection(collection);
        entry.is_some_and(|entry| entry.is_listed && !entry.is_unavailable)
    };
    let last_response_at = state
        .collection(StoreCollection::Endpoints)
        .and_then(|entry| entry.last_response_at);
    let is_recent = |at: ClockTime| now.since(at) < state.times.store_timeout;
    let has_failed = state
        .last_write_failure_at
        .is_some_and(|at| now.since(at) < state.times.write_failure_backoff);
    is_watched(StoreCollection::Endpoints)
        && is_watched(StoreCollection::Shared)
        && last_response_at.is_some_and(is_recent)
        && !has_failed
}

/// Whether this node can own the groups.
pub(crate) fn can_own(state: &EdgeState, now: ClockTime) -> bool {
    let yielded_at = state.yielded_at;
    state.stopping.is_none()
        && is_hub(state)
        && yielded_at.is_none_or(|at| now.since(at) >= state.times.yield_duration)
        && state.config.get().is_some()
        && now.since(state.started_at) >= state.times.ownership_start_delay
        && is_store_available(state, now)
        && !is_cut_off_alone(state, now)
}

/// Instant at which the store last responded to this node.
pub(crate) fn store_contact(state: &EdgeState) -> Option<ClockTime> {
    let entries = StoreCollection::ALL.map(|collection| state.collection(collection));
    let responses = entries.into_iter().flatten();
    responses.filter_map(|entry| entry.last_response_at).max()
}

/// The same of the nodes whose digests this node hears. What these have heard from others is left
/// out, as an instant would grow younger with each message.
pub(crate) fn heard_contact(state: &EdgeState) -> Option<ClockTime> {
    let digests = state.peers.values().filter_map(|peer| peer.digest.as_ref());
    digests.filter_map(|digest| digest.store_contact).max()
}

/// Instant at which the store last responded to any other node, as this one has heard.
pub(crate) fn others_contact(state: &EdgeState) -> Option<ClockTime> {
    let digests = state.peers.values().filter_map(|peer| peer.digest.as_ref());
    let passed_on = digests.filter_map(|digest| digest.heard_contact).max();
    heard_contact(state).max(passed_on)
}

/// Whether this node's list of the endpoints is older than its claim of the groups.
pub(crate) fn awaits_list(state: &EdgeState) -> bool {
    let listed = state.collection(StoreCollection::Endpoints);
    let revision = listed.map(|entry| entry.revision).unwrap_or_default();
    let claimed_version = state.planner.claimed_version();
    claimed_version.is_some_and(|version| revision < version)
}

/// Whether this node reaches no server while others do; if no node does, the servers are down.
pub(crate) fn is_cut_off_alone(state: &EdgeState, now: ClockTime) -> bool {
    let mut peers = state.peers.values();
    reach::queries::is_cut_off(&state.reach)
        && peers.any(|peer| {
            let is_sound = peer
                .digest
                .as_ref()
                .is_some_and(|digest| !digest.is_cut_off);
            is_sound && is_peer_alive(state, peer, now)
        })
}

/// Whether another node has sent a digest recently.
pub(crate) fn is_peer_alive(state: &EdgeState, peer: &PeerState, now: ClockTime) -> bool {
    peer.last_digest_at
        .is_some_and(|at| now.since(at) < state.times.peer_timeout)
}

/// Node that owns the groups, from this node's point of view.
///
/// The current owner keeps them while it can own them. It is the node that wrote the
/// record, or one that has had nothing to write yet. Otherwise the node with the most
/// processing capacity takes over, the first by name among equals. Nodes may briefly
/// disagree; that is harmless, because each step is a conditional write of the record.
pub(crate) fn owner(state: &EdgeState, now: ClockTime) -> Option<NodeName> {
    let peers = state.peers.iter().filter_map(|(node, peer)| {
        let digest = peer.digest.as_ref()?;
        let is_able = digest.can_own && is_peer_alive(state, peer, now);
        is_able.then(|| Candidate {
            node: node.clone(),
            capacity: peer.capacity,
            is_owner: digest.is_owner,
        })
    });
    let mut able: Vec<_> = peers.collect();
    if can_own(state, now) {
        able.push(Candidate {
            node: state.settings.node.clone(),
            capacity: state.settings.capacity,
            is_owner: state.is_owner,
        });
    }
    let writer = state.planner.record().owner.as_ref();
    let best = able.into_iter().min_by_key(|candidate| {
        let wrote = Some(&candidate.node) == writer;
        let order = (
            Reverse(wrote),
            Reverse(candidate.is_owner),
            Reverse(candidate.capacity),
        );
        (order, candidate.node.clone())
    });
    best.map(|candidate| candidate.node)
}

/// Whether this node watches over the groups although nobody can own them, because the store is
/// away.
///
/// It only probes their members, so that the nodes avoid groups that have lost one. One node
/// does so: the one that wrote the record, or else the first of the hubs.
pub(crate) fn is_prober(state: &EdgeState, now: ClockTime) -> bool {
    let has_started = now.since(state.started_at) >= state.times.ownership_start_delay;
    let is_able =
        has_started && state.stopping.is_none() && is_hub(state) && !is_cut_off_alone(state, now);
    if !is_able || state.planner.version().is_none() || owner(state, now).is_some() {
        return false;
    }
    let writer = state.planner.record().owner.as_ref();
    let rank =
        |node: &NodeName, capacity: u32| (writer != Some(node), Reverse(capacity), node.clone());
    let local = rank(&state.settings.node, state.settings.capacity);
    let peers = state.peers.iter();
    let hubs = peers.filter(|(node, _)| !uses_hubs(state) || state.hubs.contains(*node));
    let reaches_servers = |peer: &PeerState| {
        let digest = peer.digest.as_ref();
        digest.is_none_or(|digest| !digest.is_cut_off)
    };
    let mut alive =
        hubs.filter(|(_, peer)| is_peer_alive(state, peer, now) && reaches_servers(peer));
    alive.all(|(node, peer)| local < rank(node, peer.capacity))
}

/// Node that can own the groups.
struct Candidate {
    node: NodeName,
    capacity: u32,
    is_owner: bool,
}
