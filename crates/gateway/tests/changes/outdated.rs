//! Gateways that know of a newer document and can't get it.
//!
//! Guards against calls, with a revoked key too, that a gateway took by a document that it had known
//! to be too old for longer than the bound for changes.

use base::prelude::*;

use crate::network::{CHANGE_BOUND, LinkFilling, Network, StoreAccess};
use crate::play;

/// Time for which bytes wait on a full link.
const FULL_LINK_DELAY: Duration = Duration::from_millis(600);
/// Interval at which foreign bytes arrive there.
const FILLING_INTERVAL: Duration = Duration::from_millis(100);

fn is_concerned(index: usize) -> bool {
    index % 3 == 1
}

/// A third of the nodes get documents neither from the store nor from others.
fn keep_documents_away(network: &mut Network, round: usize) {
    let count = network.nodes.len();
    for index in (0..count).filter(|index| is_concerned(*index)) {
        network.nodes[index].access = StoreAccess::TurnedAway;
        network.without_documents.insert(index);
    }
    network.restart(round * 3 % count);
}

/// The links to a third of the nodes are full, the store turns them away, and one node after the
/// other restarts, watchers among them.
fn fill_links(network: &mut Network, round: usize) {
    let count = network.nodes.len();
    for index in (0..count).filter(|index| is_concerned(*index)) {
        network.nodes[index].access = StoreAccess::TurnedAway;
    }
    network.restart(round * 3 % count);
    network.filling = Some(LinkFilling {
        interval: FILLING_INTERVAL,
        delay: FULL_LINK_DELAY,
        is_filled: is_concerned,
    });
}

fn check(count: usize, case: &str, disturb: fn(&mut Network, usize)) {
    let changes = if count <= 24 { 6 } else { 3 };
    let network = play(count, changes, case, disturb);
    let (age, index, version) = network.worst_served;
    assert!(
        age <= CHANGE_BOUND,
        "{count} nodes: node {index} answers a call by version {version}, superseded for {age:?}"
    );
}

#[test]
fn gateways_that_documents_do_not_reach_answer_nothing_by_an_old_one() {
    for count in [3, 6, 12, 24, 70, 195] {
        check(count, "documents don't arrive", keep_documents_away);
    }
}

#[test]
fn gateways_on_full_links_answer_nothing_by_an_old_document_as_watchers_restart() {
    for count in [3, 6, 12, 24, 70, 195] {
        check(count, "full links", fill_links);
    }
}
