//! Bytes of targets and records that nodes send while servers and nodes start and change.
//!
//! Guards against failures in which a hub's link was filled by the list of servers, sent whole to
//! many nodes at each change, while digests and reads of the store waited.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use base::prelude::*;
use edge::border::encode_message;
use edge::border::ports::{CollectionChange, CollectionItem, StoreCollection};
use edge::{
    CollectionEvent, Digest, EdgeEffect, EdgeEvent, EdgeSettings, EdgeState, EdgeTimes, PeerMessage,
};
use relay::SendTarget;
use replicas::{Endpoint, Presence};
use store::{ObjectKey, StoredObject, UpdateOutcome};

use crate::support::{at, config_item, digest, endpoint, list, node, settings};

const DEPLOYMENTS: [usize; 4] = [12, 24, 70, 195];
const SERVERS: usize = 600;
const DOMAINS: usize = 5;
/// Nodes with the faster links and more processing capacity.
const LARGE_NODES: usize = 10;
/// Bytes a second of the links.
const LARGE_LINK_RATE: u64 = 25_000_000;
const SMALL_LINK_RATE: u64 = 2_500_000;
const TICK_MS: u64 = 20;
/// Time in which all nodes start.
const START_MS: u64 = 1_000;
/// Time after its start at which a hub has listed the endpoints.
const LIST_MS: u64 = 200;
/// Time from a change to the last node that uses it.
const CHANGE_LIMIT_MS: u64 = 1_000;
const FIRST_PORT: u16 = 1_000;

fn is_large(index: usize) -> bool {
    index < LARGE_NODES
}

fn link_rate(index: usize) -> u64 {
    if is_large(index) {
        LARGE_LINK_RATE
    } else {
        SMALL_LINK_RATE
    }
}

fn domain_of(index: usize) -> String {
    format!("kozep-{}", index % DOMAINS)
}

fn server(index: usize, presence: Presence) -> CollectionItem {
    let address = SocketAddr::from(([10, 2, 64, 100], 10_000 + index as u16));
    CollectionItem::Endpoint(Endpoint {
        address,
        presence,
        domain: DomainName::new(&domain_of(index)).unwrap(),
        ..endpoint(&format!("i-{index:010}"))
    })
}

/// Bytes that a node has sent in a tick.
struct SentBytes {
    at: u64,
    kind: &'static str,
    bytes: u64,
}

/// Nodes that start one after the other, and the messages between them.
struct Deployment {
    count: usize,
    now: u64,
    /// Nodes that have started.
    nodes: Vec<EdgeState>,
    has_listed: Vec<bool>,
    presences: Vec<Presence>,
    revision: ObjectVersion,
    in_flight: Vec<(usize, EdgeEvent)>,
    sent: Vec<Vec<SentBytes>>,
    /// Newest targets that each node was sent.
    newest: Vec<ObjectVersion>,
    /// Sizes of the lists of targets that are encoded.
    sizes: BTreeMap<usize, (Arc<[SendTarget]>, u64)>,
}

impl Deployment {
    fn new(count: usize) -> Self {
        Self {
            count,
            now: 0,
            nodes: Vec::new(),
            has_listed: vec![false; count],
            presences: vec![Presence::Ready; SERVERS],
            revision: ObjectVersion(10),
            in_flight: Vec::new(),
            sent: (0..count).map(|_| Vec::new()).collect(),
            newest: vec![ObjectVersion::default(); count],
            sizes: BTreeMap::new(),
        }
    }

    fn entries(&self) -> Vec<CollectionItem> {
        let entries = (0..self.count).map(|index| {
            let port = FIRST_PORT + index as u16;
            let rank = if is_large(index) { 500 } else { 200 };
            let domain = domain_of(index);
            CollectionItem::Shared(StoredObject {
                key: ObjectKey::new(&format!("node.n{index:03}")),
                version: ObjectVersion(1),
                value: format!(
                    r#"{{"address":"127.0.0.1:{port}","rank":{rank},"domain":"{domain}"}}"#
                )
                .into(),
            })
        });
        entries.collect()
    }

    fn start_node(&mut self, index: usize) {
        let settings = EdgeSettings {
            capacity: if is_large(index) { 500 } else { 200 },
            link_rate: link_rate(index),
            domain: DomainName::new(&domain_of(index)).unwrap(),
            ..settings(&format!("n{index:03}"))
        };
        let now = at(self.now);
        let mut node = EdgeState::new(settings, EdgeTimes::default(), index as u64, now);
        let config = vec![config_item(1, "/x/")];
        list(&mut node, StoreCollection::RoutingConfig, config, now);
        list(&mut node, StoreCollection::Shared, self.entries(), now);
        self.nodes.push(node);
    }

    fn started_at(&self, index: usize) -> u64 {
        START_MS * index as u64 / self.count as u64
    }

    /// Changes whether a server is ready; the nodes that watch the endpoints learn of it.
    fn change(&mut self, index: usize, presence: Presence) {
        self.presences[index] = presence;
        self.revision = self.revision.next();
        for node in (0..self.nodes.len()).filter(|node| self.has_listed[*node]) {
            let change = CollectionChange::Put(server(index, presence));
            let event = CollectionEvent::Changed(vec![change], self.revision);
            let event = EdgeEvent::Collection(StoreCollection::Endpoints, event);
            self.in_flight.push((node, event));
        }
    }

    fn advance(&mut self) {
        self.now += TICK_MS;
        while self.nodes.len() < self.count && self.started_at(self.nodes.len()) <= self.now {
            self.start_node(self.nodes.len());
        }
        for index in 0..self.nodes.len().min(DOMAINS) {
            if !self.has_listed[index] && self.now >= self.started_at(index) + LIST_MS {
                self.has_listed[index] = true;
                let presences = self.presences.iter().enumerate();
                let items = presences.map(|(index, presence)| server(index, *presence));
                let event = CollectionEvent::Listed(items.collect(), self.revision);
                let event = EdgeEvent::Collection(StoreCollection::Endpoints, event);
                self.in_flight.push((index, event));
            }
        }
        for (index, event) in std::mem::take(&mut self.in_flight) {
            if let EdgeEvent::Peer(PeerMessage::Targets(_, version)) = &event {
                self.newest[index] = self.newest[index].max(version.latest);
            }
            let effects = self.nodes[index].handle(event, at(self.now));
            self.execute(index, effects);
        }
        for index in 0..self.nodes.len() {
            let due = self.nodes[index].next_deadline();
            if due.is_some_and(|due| due <= at(self.now)) {
                let effects = self.nodes[index].wake(at(self.now));
                self.execute(index, effects);
            }
        }
    }

    fn execute(&mut self, index: usize, effects: Vec<EdgeEffect>) {
        for effect in effects {
            match effect {
                EdgeEffect::Send { to, message } => {
                    let kind = message.kind();
                    let receiver = usize::from(to.port() - FIRST_PORT);
                    if matches!(kind, "targets" | "record") {
                        let bytes = self.size_of(&message);
                        self.sent[index].push(SentBytes {
                            at: self.now,
                            kind,
                            bytes,
                        });
                    }
                    if receiver < self.nodes.len() {
                        self.in_flight.push((receiver, EdgeEvent::Peer(message)));
                    }
                }
                EdgeEffect::Update(change) if change.key.as_str() == "groups" => {
                    self.revision = self.revision.next();
                    let outcome = UpdateOutcome::Applied(self.revision);
                    self.in_flight
                        .push((index, EdgeEvent::Updated(change, outcome)));
                }
                _ => {}
            }
        }
    }

    fn size_of(&mut self, message: &PeerMessage) -> u64 {
        let encode = || encode_message(message, at(self.now)).len() as u64;
        let PeerMessage::Targets(targets, _) = message else {
            return encode();
        };
        let key = targets.as_ptr().addr();
        let entry = self.sizes.entry(key);
        entry.or_insert_with(|| (targets.clone(), encode())).1
    }

    /// Nodes that send more bytes of targets and records than a fifth of their link carries in a
    /// second, with the most in any second by kind.
    fn overloaded_links(&self) -> Vec<String> {
        let mut overloaded = Vec::new();
        for (index, sent) in self.sent.iter().enumerate() {
            let mut worst = (0, 0, 0, 0);
            let mut first = 0;
            let (mut targets, mut record) = (0, 0);
            for entry in sent {
                let sum = if entry.kind == "targets" {
                    &mut targets
                } else {
                    &mut record
                };
                *sum += entry.bytes;
                while sent[first].at + 1_000 <= entry.at {
                    let old = &sent[first];
                    let sum = if old.kind == "targets" {
                        &mut targets
                    } else {
                        &mut record
                    };
                    *sum -= old.bytes;
                    first += 1;
                }
                worst = worst.max((targets + record, targets, record, entry.at));
            }
            let (total, targets, record, ends_at) = worst;
            if total > link_rate(index) / 5 {
                overloaded.push(format!(
                    "node {index}: {targets} bytes of targets and {record} of records in the \
                     second before {ends_at} ms"
                ));
            }
        }
        overloaded
    }

    /// Nodes without the newest targets; hubs compute theirs.
    fn late_nodes(&self, version: ObjectVersion) -> Vec<usize> {
        let others = DOMAINS..self.count;
        others
            .filter(|index| self.newest[*index] < version)
            .collect()
    }

    fn run(&mut self, until: u64) {
        while self.now < until {
            self.advance();
        }
    }
}

#[test]
fn nodes_that_start_while_servers_start_send_few_bytes_of_targets() {
    let mut failures = Vec::new();
    for count in DEPLOYMENTS {
        let mut deployment = Deployment::new(count);
        let half = SERVERS / 2;
        deployment.presences[half..].fill(Presence::Leaving);
        for index in half..SERVERS {
            deployment.advance();
            deployment.change(index, Presence::Ready);
            if deployment.now >= 3_000 {
                break;
            }
        }
        let version = deployment.revision;
        deployment.run(deployment.now + CHANGE_LIMIT_MS);
        let overloaded = deployment.overloaded_links();
        let late = deployment.late_nodes(version);
        if !overloaded.is_empty() || !late.is_empty() {
            failures.push(format!(
                "{count} nodes: late {late:?}; {}",
                overloaded.join("; ")
            ));
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

#[test]
fn targets_that_a_node_never_shows_are_sent_ever_more_rarely() {
    let mut deployment = Deployment::new(24);
    deployment.start_node(0);
    let mut hub = deployment.nodes.remove(0);
    hub.wake(at(50));
    let targets = PeerMessage::Targets(Arc::new([]), ObjectVersion(40).into());
    hub.handle(EdgeEvent::Peer(targets), at(100));
    let mut sent_at = Vec::new();
    for now in (500..8_500).step_by(100) {
        let EdgeEvent::Peer(PeerMessage::Digest(shown)) = digest("n020", false, 1) else {
            panic!("no digest");
        };
        let shown = Digest {
            summing_hub: Some(node("n000")),
            targets_version: ObjectVersion(30),
            ..*shown
        };
        let message = PeerMessage::Digest(Box::new(shown));
        let effects = hub.handle(EdgeEvent::Peer(message), at(now));
        let is_targets = |effect: &EdgeEffect| matches!(effect, EdgeEffect::Send { message, .. } if message.kind() == "targets");
        sent_at.extend(
            effects
                .iter()
                .filter(|effect| is_targets(effect))
                .map(|_| now),
        );
    }
    assert_eq!(sent_at, [500, 1_000, 2_000, 4_000, 8_000]);
}

#[test]
fn changes_of_servers_many_times_a_second_send_few_bytes_of_targets() {
    let mut failures = Vec::new();
    for count in DEPLOYMENTS {
        let mut deployment = Deployment::new(count);
        deployment.run(4_000);
        deployment.sent.iter_mut().for_each(Vec::clear);
        for round in 0..150 {
            let server = round / 2 * 7 % SERVERS;
            let presence = if round % 2 == 0 {
                Presence::Leaving
            } else {
                Presence::Ready
            };
            deployment.change(server, presence);
            deployment.advance();
        }
        let version = deployment.revision;
        deployment.run(deployment.now + CHANGE_LIMIT_MS);
        let overloaded = deployment.overloaded_links();
        let late = deployment.late_nodes(version);
        if !overloaded.is_empty() || !late.is_empty() {
            failures.push(format!(
                "{count} nodes: late {late:?}; {}",
                overloaded.join("; ")
            ));
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

#[test]
fn targets_reach_a_node_soon_after_its_silent_connection_was_replaced() {
    let mut deployment = Deployment::new(24);
    deployment.start_node(0);
    let mut hub = deployment.nodes.remove(0);
    hub.wake(at(50));
    let targets = PeerMessage::Targets(Arc::new([]), ObjectVersion(40).into());
    hub.handle(EdgeEvent::Peer(targets), at(100));
    // What the hub sends is lost until then; the digests of the node arrive all the time.
    let replaced_at = 2_100;
    let mut arrived_at = None;
    for now in (500..8_500).step_by(100) {
        let EdgeEvent::Peer(PeerMessage::Digest(shown)) = digest("n020", false, 1) else {
            panic!("no digest");
        };
        let shown = Digest {
            summing_hub: Some(node("n000")),
            targets_version: ObjectVersion(30),
            received_version: Some(ObjectVersion(30).into()),
            ..*shown
        };
        let message = PeerMessage::Digest(Box::new(shown));
        let effects = hub.handle(EdgeEvent::Peer(message), at(now));
        let is_targets = |effect: &EdgeEffect| matches!(effect, EdgeEffect::Send { message, .. } if message.kind() == "targets");
        if now >= replaced_at && effects.iter().any(is_targets) {
            arrived_at.get_or_insert(now);
        }
    }
    let arrived_at = arrived_at.expect("the targets arrive");
    assert!(
        arrived_at <= replaced_at + 600,
        "they arrive at {arrived_at} ms, the connection was replaced at {replaced_at} ms"
    );
}
