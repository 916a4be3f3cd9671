//! Which node forms the groups.

use std::cmp::Reverse;

use base::prelude::*;

use super::hubs::is_hub;
use crate::EdgeState;
use crate::border::ports::Feed;
use crate::state::PeerState;

/// Whether the store answers, as far as this node can tell.
fn is_store_heard(state: &EdgeState, now: ClockTime) -> bool {
    let is_followed = |feed| {
        let known = state.feed(feed);
        known.is_some_and(|known| known.is_listed && !known.is_lost)
    };
    let heard_at = state.feed(Feed::Endpoints).and_then(|known| known.heard_at);
    let is_recent = |at: ClockTime| now.since(at) < state.times.store_silence;
    let has_failed = state
        .write_fault_at
        .is_some_and(|at| now.since(at) < state.times.write_pause);
    is_followed(Feed::Endpoints)
        && is_followed(Feed::Shared)
        && heard_at.is_some_and(is_recent)
        && !has_failed
}

/// Whether this node could form the groups.
pub(crate) fn can_own(state: &EdgeState, now: ClockTime) -> bool {
    let yielded = state.yielded_at;
    state.stopping.is_none()
        && is_hub(state)
        && yielded.is_none_or(|at| now.since(at) >= state.times.yield_span)
        && state.intent.get().is_some()
        && now.since(state.started_at) >= state.times.settle_span
        && is_store_heard(state, now)
}

/// Whether another node has been heard lately.
pub(crate) fn is_heard(state: &EdgeState, peer: &PeerState, now: ClockTime) -> bool {
    peer.heard_at
        .is_some_and(|at| now.since(at) < state.times.peer_silence)
}

/// Node that forms the groups, as this node sees it.
///
/// The present owner keeps them while it can, be it the one that wrote the
/// record or one that has nothing to write yet; otherwise the node that can do
/// most takes over, the first by name among equals. Two nodes that disagree for
/// a moment are harmless, because each step is a conditional write of the record.
pub(crate) fn owner(state: &EdgeState, now: ClockTime) -> Option<NodeName> {
    let peers = state.peers.iter().filter_map(|(node, peer)| {
        let digest = peer.digest.as_ref()?;
        let is_able = digest.can_own && is_heard(state, peer, now);
        is_able.then(|| Candidate {
            node: node.clone(),
            rank: peer.rank,
            owns: digest.owns,
        })
    });
    let mut able: Vec<_> = peers.collect();
    if can_own(state, now) {
        able.push(Candidate {
            node: state.settings.node.clone(),
            rank: state.settings.rank,
            owns: state.is_owner,
        });
    }
    let writer = state.planner.record().owner.as_ref();
    let best = able.into_iter().min_by_key(|candidate| {
        let wrote = Some(&candidate.node) == writer;
        let order = (
            Reverse(wrote),
            Reverse(candidate.owns),
            Reverse(candidate.rank),
        );
        (order, candidate.node.clone())
    });
    best.map(|candidate| candidate.node)
}

/// Node that could form the groups.
struct Candidate {
    node: NodeName,
    rank: u32,
    owns: bool,
}
