//! Which node sends another one what it lacks.
//!
//! Several nodes notice that a node has an older configuration or record. If each of them sent it,
//! the copies would share the receiver's link, and a large one would arrive nowhere. So the nodes
//! that could send are in an order that differs from receiver to receiver, and each waits for a
//! step longer than the one before it: the next one sends only if the receiver got nothing.

use std::hash::{DefaultHasher, Hash, Hasher};

use base::prelude::*;

use super::hubs::{is_hub, sends_sums_to, uses_hubs};
use super::owner::is_peer_alive;
use crate::EdgeState;
use crate::peer::Digest;
use crate::state::PeerState;

/// Time that each node leaves to the one before it; longer than a transfer and the digest after it.
const SUPPLY_STEP: Duration = Duration::from_millis(400);
/// The same between nodes that are no hubs. There are many, and where they have to send none may
/// be the first in the order.
const SPOKE_STEP: Duration = Duration::from_millis(10);

/// Time for which this node leaves it to others to send what a node lacks; `None` if it never
/// sends it. `is_newer` says whether a node with this digest could send it.
pub(crate) fn supply_delay(
    state: &EdgeState,
    receiver: &Digest,
    is_newer: impl Fn(&Digest) -> bool,
    now: ClockTime,
) -> Option<Duration> {
    if sends_sums_to(state, &receiver.from, Some(receiver)) && receiver.summing_hub.is_some() {
        return Some(Duration::ZERO);
    }
    let receives_from_hubs = state.hubs.contains(&receiver.from) || receiver.summing_hub.is_none();
    if !receives_from_hubs {
        return None;
    }
    let is_supplier = |node: &NodeName, peer: &PeerState| {
        *node != receiver.from
            && (!uses_hubs(state) || state.hubs.contains(node))
            && is_peer_alive(state, peer, now)
            && peer.digest.as_ref().is_some_and(&is_newer)
    };
    let suppliers = state.peers.iter();
    let suppliers = suppliers.filter(|(node, peer)| is_supplier(node, peer));
    if is_hub(state) {
        let local = supply_order(&state.settings.node, &receiver.from);
        let earlier = suppliers.filter(|(node, _)| supply_order(node, &receiver.from) < local);
        let earlier = u32::try_from(earlier.count()).unwrap_or(u32::MAX);
        return Some(SUPPLY_STEP.saturating_mul(earlier));
    }
    let chose_receiver = (state.summing_hub.as_ref()).is_some_and(|hub| hub.node == receiver.from);
    if !chose_receiver || suppliers.count() > 0 {
        return None;
    }
    // Nodes that are no hubs don't hear one another, so each takes a turn of its own.
    let places = state.peers.len().max(1) as u64;
    let place = supply_order(&state.settings.node, &receiver.from) % places;
    Some(SUPPLY_STEP + SPOKE_STEP.saturating_mul(u32::try_from(place).unwrap_or(u32::MAX)))
}

/// Place of a node among those that send a receiver what it lacks; the same at every node.
fn supply_order(node: &NodeName, receiver: &NodeName) -> u64 {
    let mut hasher = DefaultHasher::new();
    (receiver.as_str(), node.as_str()).hash(&mut hasher);
    hasher.finish()
}
