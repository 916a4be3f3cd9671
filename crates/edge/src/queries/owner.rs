//! Which node forms the groups.

use base::prelude::*;

use crate::EdgeState;
use crate::border::ports::Feed;

/// Whether the store has answered on a feed lately.
pub(crate) fn is_store_heard(state: &EdgeState, feed: Feed, now: ClockTime) -> bool {
    state.feed(feed).is_some_and(|known| {
        known.is_listed
            && known.heard_at.is_some_and(|at| now.since(at) < state.times.store_silence)
    })
}

/// Whether this node could form the groups.
pub(crate) fn can_own(state: &EdgeState, now: ClockTime) -> bool {
    state.stopping.is_none()
        && state.intent.get().is_some()
        && now.since(state.started_at) >= state.times.settle_span
        && is_store_heard(state, Feed::Endpoints, now)
        && is_store_heard(state, Feed::Shared, now)
}

/// Node that forms the groups, as this node sees it.
///
/// The present owner keeps them while it can; otherwise the first node by name
/// takes over. Two nodes that disagree for a moment are harmless, because each
/// step is a conditional write of the record.
pub(crate) fn owner(state: &EdgeState, now: ClockTime) -> Option<NodeName> {
    let present = state.planner.record().owner.clone();
    let peers = state.peers.iter().filter(|(_, peer)| {
        let is_heard = peer.heard_at.is_some_and(|at| now.since(at) < state.times.peer_silence);
        is_heard && peer.digest.as_ref().is_some_and(|digest| digest.can_own)
    });
    let mut able: Vec<_> = peers.map(|(node, _)| node.clone()).collect();
    if can_own(state, now) {
        able.push(state.settings.node.clone());
    }
    if let Some(present) = present.filter(|present| able.contains(present)) {
        return Some(present);
    }
    able.into_iter().min()
}
