//! Bytes of digests while many servers announce something at once.
//!
//! Guards against failures in which what servers announce was sent whole in each digest, to all
//! nodes, for two minutes, so that digests took more of a link the more servers there were.

use std::collections::{BTreeMap, BTreeSet};

use base::prelude::*;
use edge::border::ports::{CollectionChange, CollectionItem, StoreCollection};
use edge::{ArrivalOutcome, CollectionEvent, EdgeEvent, EdgeQuestion, EdgeReply};
use notices::{RequestRate, ServerNotice, ServerRun};
use relay::CallStep;
use replicas::Presence;

use crate::network::{NodeNetwork, node_entry};
use crate::outbox_links::OutboxLinks;
use crate::support::{arrival, at, endpoint, list};

/// Rates of links in bytes a millisecond: 200 and 20 Mbit/s.
const HUB_RATE: f64 = 25_000.0;
const SPOKE_RATE: f64 = 2_500.0;
/// Instant at which servers announce something, and time in which all nodes have to know it.
const ANNOUNCED_MS: u64 = 3_000;
const CONTACT_MS: u64 = 5_000;
/// Largest part of a link that digests may take in a second.
const MAX_SHARE: f64 = 0.1;

/// Number of servers; many nodes take long to play.
fn server_count(nodes: usize) -> usize {
    if nodes <= 24 { 600 } else { 200 }
}

fn server_name(index: usize) -> String {
    format!("i-{index:010x}")
}

fn announce(network: &mut NodeNetwork, node: usize, server: usize, notice: ServerNotice) {
    let run = ServerRun {
        server: HostName::new(&server_name(server)).unwrap(),
        incarnation: HostIncarnation(1),
    };
    let id = "request".into();
    network.handle(node, EdgeEvent::Announced { run, id, notice });
}

/// Network of nodes that list many servers.
fn start_network(count: usize, rates: Vec<f64>) -> NodeNetwork {
    let mut network = NodeNetwork::new(count);
    for state in &mut network.nodes {
        let servers = (0..server_count(count)).map(|index| endpoint(&server_name(index)));
        let servers = servers.map(CollectionItem::Endpoint).collect();
        list(state, StoreCollection::Endpoints, servers, at(0));
        let entries = (0..count).map(|index| node_entry(index, "zone-a"));
        list(state, StoreCollection::Shared, entries.collect(), at(0));
    }
    network.outboxes = Some(OutboxLinks::new(rates));
    network
}

/// Lets half of the servers name a limit, and the other half leave, as different nodes hear.
fn announce_all(network: &mut NodeNetwork) {
    let count = network.nodes.len();
    for server in 0..server_count(count) {
        let notice = if server.is_multiple_of(2) {
            ServerNotice {
                limit: RequestRate::new(2.0),
                ..ServerNotice::default()
            }
        } else {
            ServerNotice {
                is_leaving: true,
                ..ServerNotice::default()
            }
        };
        announce(network, server % count, server, notice);
    }
}

/// Lets all servers leave that one hub reads in the store.
fn remove_servers(network: &mut NodeNetwork) {
    let servers = server_count(network.nodes.len());
    let left = (0..servers).map(|index| {
        let mut server = endpoint(&server_name(index));
        server.presence = Presence::Leaving;
        CollectionChange::Put(CollectionItem::Endpoint(server))
    });
    let event = CollectionEvent::Changed(left.collect(), ObjectVersion(9));
    let event = EdgeEvent::Collection(StoreCollection::Endpoints, event);
    network.handle(0, event);
}

/// Largest part of a node's link that its digests took in a second.
fn busiest_share(network: &NodeNetwork, rates: &[f64]) -> (f64, usize, u64) {
    let links = network.outboxes.as_ref().expect("links are limited");
    largest_share(&links.digest_bytes, rates)
}

fn largest_share(digest_bytes: &BTreeMap<(usize, u64), usize>, rates: &[f64]) -> (f64, usize, u64) {
    let shares = digest_bytes.iter().map(|((node, second), bytes)| {
        let share = *bytes as f64 / (rates[*node] * 1_000.0);
        (share, *node, *second)
    });
    shares.fold(
        (0.0, 0, 0),
        |most, share| {
            if share.0 > most.0 { share } else { most }
        },
    )
}

fn check(name: &str, count: usize, disturb: impl Fn(&mut NodeNetwork)) -> NodeNetwork {
    let rate = |index| if index < 4 { HUB_RATE } else { SPOKE_RATE };
    let rates: Vec<f64> = (0..count).map(rate).collect();
    let mut network = start_network(count, rates.clone());
    network.run(ANNOUNCED_MS);
    disturb(&mut network);
    network.run(ANNOUNCED_MS + CONTACT_MS);
    let (share, node, second) = busiest_share(&network, &rates);
    println!("{name}, {count} nodes: {share:.3} of the link of node {node} in second {second}");
    assert!(
        share <= MAX_SHARE,
        "{name}, {count} nodes: digests take {share:.3} of the link of node {node}"
    );
    network
}

#[test]
fn announcements_of_many_servers_do_not_fill_links_with_digests() {
    for count in [3, 6, 12, 24, 70, 195] {
        let network = check("announcements", count, announce_all);
        let known = &network.announcements;
        assert!(
            known.iter().all(|known| *known == server_count(count)),
            "{count} nodes: {known:?}"
        );
    }
}

#[test]
fn departures_of_many_servers_do_not_fill_links_with_digests() {
    for count in [3, 6, 12, 24, 70, 195] {
        check("departures", count, remove_servers);
    }
}

/// Largest part of a node's link that the digests of others took in a second, while every node has
/// heard the limits of all servers.
fn received_share(count: usize, lost_hubs: &[usize]) -> (f64, usize, u64) {
    let rate = |index| if index < 4 { HUB_RATE } else { SPOKE_RATE };
    let rates: Vec<f64> = (0..count).map(rate).collect();
    let mut network = start_network(count, rates.clone());
    network.cut_off.extend(lost_hubs);
    network.run(ANNOUNCED_MS);
    let notice = ServerNotice {
        limit: RequestRate::new(2.0),
        ..ServerNotice::default()
    };
    for node in 0..count {
        for server in 0..server_count(count) {
            announce(&mut network, node, server, notice);
        }
    }
    network.run(ANNOUNCED_MS + CONTACT_MS);
    let links = network.outboxes.as_ref().expect("links are limited");
    largest_share(&links.received_digest_bytes, &rates)
}

#[test]
fn digests_of_nodes_that_all_hear_limits_leave_a_hub_the_larger_part_of_its_link() {
    for count in [24, 70, 195] {
        let (share, node, second) = received_share(count, &[]);
        println!("{count} nodes: {share:.3} into node {node} in second {second}");
        assert!(share < 0.5, "{count} nodes: {share:.3} into node {node}");
    }
}

#[test]
fn digests_of_nodes_that_all_hear_limits_leave_a_small_hub_the_larger_part_of_its_link() {
    let shares = [24, 70, 195].map(|count| {
        let (share, node, second) = received_share(count, &[0, 1, 2, 3]);
        println!("{count} nodes, small hubs: {share:.3} into node {node} in second {second}");
        share
    });
    assert!(shares.iter().all(|share| *share < 0.5), "{shares:.3?}");
}

/// Servers that leave at once, as an operator takes away a seventh of some 760.
const LEAVING_TOGETHER: usize = 100;
/// Servers that are sent requests.
const USED_SERVERS: usize = 200;

/// Nodes that send requests to servers that have left, with the number of these servers.
fn nodes_with_left_servers(network: &mut NodeNetwork) -> Vec<(usize, usize)> {
    let now = at(network.now);
    let left: BTreeSet<_> = (0..LEAVING_TOGETHER).map(server_name).collect();
    let mut nodes = Vec::new();
    for index in 0..network.nodes.len() {
        if network.cut_off.contains(&index) {
            continue;
        }
        let calls = 0..2 * USED_SERVERS as u64;
        let mut used = BTreeSet::new();
        for call in calls.clone() {
            let question = EdgeQuestion::Arrive(Box::new(arrival(call, "/x/", now)));
            let EdgeReply::Arrival(outcome) = network.ask(index, question) else {
                continue;
            };
            if let ArrivalOutcome::Accepted {
                step: CallStep::Send(order),
                ..
            } = *outcome
            {
                used.insert(order.target.as_str().to_owned());
            }
        }
        for call in calls {
            network.handle(index, EdgeEvent::Finished(CallId(call)));
        }
        let late = used.intersection(&left).count();
        if late > 0 {
            nodes.push((index, late));
        }
    }
    nodes
}

/// Lets many servers leave that only one hub reads in the store, while other hubs are lost.
fn check_departures(count: usize, lost_hubs: &[usize], bound_ms: u64) {
    let rate = |index| if index < 4 { HUB_RATE } else { SPOKE_RATE };
    let mut network = start_network(count, (0..count).map(rate).collect());
    for state in &mut network.nodes {
        let servers = (0..USED_SERVERS).map(|index| endpoint(&server_name(index)));
        let servers = servers.map(CollectionItem::Endpoint).collect();
        list(state, StoreCollection::Endpoints, servers, at(0));
    }
    network.cut_off.extend(lost_hubs);
    // The first node owns the groups, and its reads don't end from the departures on.
    while network.now < ANNOUNCED_MS {
        let read = CollectionEvent::Changed(Vec::new(), ObjectVersion(1));
        let read = EdgeEvent::Collection(StoreCollection::Endpoints, read);
        network.handle(0, read);
        network.run(network.now + 200);
    }
    let left = (0..LEAVING_TOGETHER).map(|index| {
        let mut server = endpoint(&server_name(index));
        server.presence = Presence::Leaving;
        CollectionChange::Put(CollectionItem::Endpoint(server))
    });
    let event = CollectionEvent::Changed(left.collect(), ObjectVersion(9));
    let event = EdgeEvent::Collection(StoreCollection::Endpoints, event);
    network.handle(1, event);
    network.run(ANNOUNCED_MS + bound_ms);
    let nodes = nodes_with_left_servers(&mut network);
    assert!(nodes.is_empty(), "{count} nodes: {nodes:?}");
}

#[test]
fn departures_of_many_servers_that_one_hub_reads_reach_all_nodes_in_time() {
    check_departures(70, &[], 1_000);
    check_departures(195, &[2, 3], 1_000);
}
