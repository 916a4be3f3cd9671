//! Large documents that change often, in event loops of many gateways on links of limited
//! bandwidth, without sockets.

mod network;
mod outdated;

use base::prelude::*;
use members::{PeerSettings, PeerState};

use network::{
    CHANGE_BOUND, CHANGE_INTERVAL, FAILURE_DOMAINS, Network, START_TIME, StoreAccess, TIMES,
    record_of,
};

/// Changes documents while a disturbance acts before each change; returns the network afterwards.
fn play(
    count: usize,
    changes: usize,
    case: &str,
    disturb: impl Fn(&mut Network, usize),
) -> Network {
    let mut network = Network::new(count);
    network.run_for(START_TIME);
    assert_eq!(network.ready_count(), count, "{case}: all nodes start");
    for round in 0..changes {
        disturb(&mut network, round);
        network.change();
        network.run_for(CHANGE_INTERVAL);
    }
    network.run_for(CHANGE_BOUND);
    network.report(case);
    network
}

/// The store turns a whole failure domain away, and one node after the other restarts.
fn turn_domain_away(network: &mut Network, round: usize) {
    let count = network.nodes.len();
    for index in (0..count).filter(|index| index % 3 == 1) {
        network.nodes[index].access = StoreAccess::TurnedAway;
    }
    network.restart((round * 5 + 2) % count);
}

fn check_domain_turned_away(count: usize, changes: usize) {
    let network = play(count, changes, "a domain is turned away", turn_domain_away);
    assert!(network.worst.0 <= CHANGE_BOUND, "{:?}", network.worst);
}

#[test]
fn changes_reach_3_gateways_beside_a_domain_turned_away_and_restarts() {
    check_domain_turned_away(3, 8);
}

#[test]
fn changes_reach_6_gateways_beside_a_domain_turned_away_and_restarts() {
    check_domain_turned_away(6, 8);
}

#[test]
fn changes_reach_12_gateways_beside_a_domain_turned_away_and_restarts() {
    check_domain_turned_away(12, 8);
}

#[test]
fn changes_reach_24_gateways_beside_a_domain_turned_away_and_restarts() {
    check_domain_turned_away(24, 8);
}

#[test]
fn changes_reach_70_gateways_beside_a_domain_turned_away_and_restarts() {
    check_domain_turned_away(70, 6);
}

#[test]
fn changes_reach_195_gateways_beside_a_domain_turned_away_and_restarts() {
    check_domain_turned_away(195, 5);
}

/// The store turns away all nodes but one watcher of each failure domain, and one node after the
/// other restarts.
fn leave_one_watcher_each(network: &mut Network, round: usize) {
    let count = network.nodes.len();
    if round == 0 {
        for node in &mut network.nodes {
            node.access = StoreAccess::TurnedAway;
        }
        for index in first_watchers(count) {
            network.nodes[index].access = StoreAccess::Answered;
        }
    }
    network.restart((round * 5 + 2) % count);
}

/// First watcher of each failure domain, as every node derives it from the names.
fn first_watchers(count: usize) -> Vec<usize> {
    let start = ClockTime::default();
    let mut peers = PeerState::new(PeerSettings::default(), record_of(0, 1), 1);
    let records = (1..count).map(|index| record_of(index, 1));
    peers.join(Vec::new(), records.collect(), start);
    peers.tick(start);
    let domains = FAILURE_DOMAINS.map(|domain| DomainName::new(domain).unwrap());
    let is_first = |index: &usize| {
        let node = record_of(*index, 1).node;
        domains
            .iter()
            .any(|domain| peers.watchers(domain)[0] == node)
    };
    (0..count).filter(is_first).collect()
}

fn check_one_watcher_each(count: usize, changes: usize) {
    let network = play(
        count,
        changes,
        "one watcher of each domain",
        leave_one_watcher_each,
    );
    assert!(network.worst.0 <= CHANGE_BOUND, "{:?}", network.worst);
}

#[test]
fn changes_reach_6_gateways_from_one_watcher_of_each_domain() {
    check_one_watcher_each(6, 6);
}

#[test]
fn changes_reach_12_gateways_from_one_watcher_of_each_domain() {
    check_one_watcher_each(12, 6);
}

#[test]
fn changes_reach_24_gateways_from_one_watcher_of_each_domain() {
    check_one_watcher_each(24, 6);
}

#[test]
fn changes_reach_70_gateways_from_one_watcher_of_each_domain() {
    check_one_watcher_each(70, 5);
}

#[test]
fn changes_reach_195_gateways_from_one_watcher_of_each_domain() {
    check_one_watcher_each(195, 4);
}

/// Only three nodes reach the store, whichever they are.
fn leave_three_nodes_the_store(network: &mut Network, round: usize) {
    let count = network.nodes.len();
    for index in 3..count {
        network.nodes[index].access = StoreAccess::TurnedAway;
    }
    network.restart((round * 5 + 2) % count);
}

#[test]
fn changes_reach_70_gateways_from_any_three_nodes() {
    let case = "three nodes reach the store";
    let network = play(70, 6, case, leave_three_nodes_the_store);
    assert!(network.worst.0 <= CHANGE_BOUND, "{:?}", network.worst);
}

/// The connections of all open watches go silent before the first change, just after the first
/// node has begun its watch.
fn silence_watches(network: &mut Network, round: usize) {
    const STEP: Duration = Duration::from_millis(10);
    if round > 0 {
        return;
    }
    let has_just_begun = |network: &Network| {
        let (_, deadline) = network.nodes[0].open_watch?;
        Some(deadline.since(network.now) + STEP >= TIMES.watch.watch_timeout)
    };
    while has_just_begun(network) != Some(true) {
        network.run_for(STEP);
    }
    for node in &mut network.nodes {
        if node.open_watch.is_some() {
            node.access = StoreAccess::Silent;
        }
    }
}

#[test]
fn changes_reach_gateways_whose_watches_have_just_gone_silent() {
    for count in [3, 6, 12, 24] {
        let network = play(count, 3, "silent watches", silence_watches);
        assert!(network.worst.0 <= CHANGE_BOUND, "{:?}", network.worst);
    }
}
