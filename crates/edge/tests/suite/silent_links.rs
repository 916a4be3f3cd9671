//! Connections between nodes, and to the store, that go silent without a reset.
//!
//! Guards against a failure in which nodes kept a configuration that had been replaced: each
//! connection is used in one direction, and of two nodes only the one that noticed the silence
//! first replaced its connection. The hubs then never learnt what the other nodes lacked, and these
//! waited for a watch of the store whose connection was silent too.

use base::prelude::*;
use edge::EdgeEvent;
use edge::border::ports::StoreCollection;

use crate::network::{NodeNetwork, TICK_MS};
use crate::support::{at, config_item, list, status};

/// Silence of the connections.
const SILENCE_AT: u64 = 5_000;
/// Time after which nodes are in touch again.
const CONTACT_MS: u64 = 3_000;
/// Time within which a configuration must be in force.
const APPLY_MS: u64 = 2_000;
/// Longest wait of a watch at a node that doesn't rely on others; longer ones are still silent.
const BOUNDED_WATCH_MS: u64 = 2_500;

fn lists(network: &mut NodeNetwork, index: usize, version: u64) {
    let item = vec![config_item(version, "/x/")];
    let now = at(network.now);
    list(
        &mut network.nodes[index],
        StoreCollection::RoutingConfig,
        item,
        now,
    );
}

/// Plays until an instant; nodes whose watches are bounded read the store from `deaf_until` on, the
/// others don't.
fn play(network: &mut NodeNetwork, until: u64, version: u64, deaf_until: u64) {
    while network.now < until {
        network.run(network.now + TICK_MS);
        if network.now >= deaf_until && network.now.is_multiple_of(500) {
            for index in 0..network.nodes.len() {
                let mode = network.watch_modes[index];
                if !mode.receives_targets || mode.lacks_config {
                    lists(network, index, version);
                }
                // The collections that a node watches itself are read on new connections.
                if !mode.receives_targets {
                    for collection in [StoreCollection::Endpoints, StoreCollection::Shared] {
                        let event = edge::CollectionEvent::Changed(Vec::new(), ObjectVersion(20));
                        network.handle(index, EdgeEvent::Collection(collection, event));
                    }
                }
            }
        }
    }
}

/// Nodes that have another configuration.
fn nodes_without(network: &mut NodeNetwork, version: u64) -> Vec<usize> {
    let now = at(network.now);
    let without = (0..network.nodes.len())
        .filter(|&index| status(&mut network.nodes[index], now).config_version != Some(version));
    without.collect()
}

fn check(count: usize, name: &str, silences: &[u64], is_silent: impl Fn(usize, usize) -> bool) {
    let mut network = NodeNetwork::new(count);
    let mut deaf_until = 0;
    for silence_at in silences {
        play(&mut network, *silence_at, 1, deaf_until);
        network.silence_links(&is_silent);
        deaf_until = silence_at + BOUNDED_WATCH_MS;
    }
    let last = network.now;
    // Just after the nodes are in touch again, and later, when watches may rely on hubs again.
    for (version, changed_at) in [(2, last + CONTACT_MS), (3, last + CONTACT_MS + 4_000)] {
        play(&mut network, changed_at, version - 1, deaf_until);
        assert_eq!(
            nodes_without(&mut network, version - 1).as_slice(),
            [0; 0],
            "{count} nodes, {name}"
        );
        play(&mut network, changed_at + APPLY_MS, version, deaf_until);
        assert_eq!(
            nodes_without(&mut network, version).as_slice(),
            [0; 0],
            "{count} nodes, {name}: version {version}"
        );
    }
    // Each node has connections to and from eight hubs, and as many others after a silence.
    let links = count * 2 * count.min(16);
    let limit = links * 2 * silences.len();
    assert!(
        network.reconnects <= limit,
        "{count} nodes, {name}: {} connections replaced",
        network.reconnects
    );
}

#[test]
fn a_configuration_is_in_force_everywhere_after_connections_went_silent() {
    let once = [SILENCE_AT];
    let again = [SILENCE_AT, SILENCE_AT + 1_500, SILENCE_AT + 9_000];
    for count in [3, 7, 12, 24] {
        check(count, "all", &once, |_, _| true);
        check(count, "all, again", &again, |_, _| true);
        check(count, "to the first", &once, |_, receiver| receiver < 4);
        check(count, "from the first", &once, |sender, _| sender < 4);
        check(count, "one way", &once, |sender, receiver| {
            sender < receiver
        });
    }
    check(195, "one way", &once, |sender, receiver| sender < receiver);
}

#[test]
fn a_configuration_is_in_force_at_195_nodes_after_all_connections_went_silent() {
    check(195, "all", &[SILENCE_AT], |_, _| true);
}

#[test]
fn nodes_do_not_replace_their_connections_in_turn() {
    let mut network = NodeNetwork::new(12);
    play(&mut network, 3_000, 1, 0);
    let before = network.reconnects;
    play(&mut network, 13_000, 1, 0);
    assert_eq!(network.reconnects, before);
}
