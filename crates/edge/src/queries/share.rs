//! This node's share of what all nodes may send to a server that names a limit.
//!
//! A node's weight is the rate of its requests, so that its share follows its load. Nodes that
//! receive the digests of all others sum up the weights; the others get the sum from their
//! summing hub.

use base::prelude::*;
use notices::NodeShare;

use super::hubs::{is_hub, uses_hubs};
use crate::EdgeState;
use crate::border::ports::StoreCollection;
use crate::peer::NodeWeight;
use crate::state::PeerState;

/// Time without a digest of a node after which the others take over its share.
const GONE_TIMEOUT: Duration = Duration::from_secs(3);
/// Requests a second that are added to a node's own, so that an idle node has a share too.
const IDLE_RATE: f64 = 0.5;
/// Number of nodes that is assumed before the nodes were listed.
const ASSUMED_NODE_COUNT: usize = 16;

/// This node's share, by its weight among all nodes.
pub(crate) fn node_share(state: &EdgeState, now: ClockTime) -> NodeShare {
    let names = state.peers.keys();
    let rank = names.filter(|name| **name < state.settings.node).count();
    let count = (state.peers.len() + 1) as f64;
    let local = f64::from(local_weight(state, now).0);
    let fraction = match total_weight(state, now) {
        Some(total) => local / f64::from(total.0).max(local),
        None => 1.0 / known_node_count(state) as f64,
    };
    NodeShare {
        fraction,
        position: rank as f64 / count,
    }
}

/// Weight of this node.
pub(crate) fn local_weight(state: &EdgeState, now: ClockTime) -> NodeWeight {
    NodeWeight::of_rate(state.relay.arrival_rate(now) + IDLE_RATE)
}

/// Sum of the weights of all nodes; `None` if this node doesn't know it.
pub(crate) fn total_weight(state: &EdgeState, now: ClockTime) -> Option<NodeWeight> {
    if is_hub(state) {
        return sum_weights(state, now);
    }
    state.received_weight
}

/// Sum of the weights of this node and of those whose digests it gets.
///
/// A node that no longer hears most of the others may be cut off itself while they go on, so
/// it leaves them their shares.
fn sum_weights(state: &EdgeState, now: ClockTime) -> Option<NodeWeight> {
    let heard = |peer: &&PeerState| peer.digest.is_some();
    let known: Vec<_> = state.peers.values().filter(heard).collect();
    let is_present = |peer: &&&PeerState| {
        let heard_at = peer.last_digest_at;
        heard_at.is_some_and(|at| now.since(at) < GONE_TIMEOUT)
    };
    let present: Vec<_> = known.iter().filter(is_present).copied().collect();
    let is_cut_off = (present.len() + 1) * 2 <= known.len() + 1;
    let counted = if is_cut_off { &known } else { &present };
    let weights = counted.iter().filter_map(|peer| peer.digest.as_ref());
    let sum: f64 = weights.map(|digest| f64::from(digest.weight.0)).sum();
    let sum = sum + f64::from(local_weight(state, now).0);
    // Nodes that this one has not heard since its start send requests all the same.
    let is_starting = now.since(state.started_at) < GONE_TIMEOUT;
    let unheard = if is_starting {
        known_node_count(state).saturating_sub(known.len() + 1)
    } else {
        0
    };
    let mean = sum / (counted.len() + 1) as f64;
    Some(NodeWeight::from_sum(sum + mean * unheard as f64))
}

/// Number of nodes that have an entry, or an assumed number before they were listed.
fn known_node_count(state: &EdgeState) -> usize {
    let shared = state.collection(StoreCollection::Shared);
    let count = state.peers.len() + 1;
    if uses_hubs(state) || shared.is_some_and(|entry| entry.is_listed) {
        return count;
    }
    count.max(ASSUMED_NODE_COUNT)
}
