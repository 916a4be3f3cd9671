//! Large documents that change often, in event loops of many gateways on links of limited
//! bandwidth, without sockets.
//!
//! Each node's link carries its frames and its reads of the store, each direction in the order in
//! which they come.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use base::prelude::*;
use document::{Document, Section};
use gateway::{
    GatewayEffect, GatewayEvent, GatewayLoop, GatewayQuery, GatewayReply, GatewayState,
    GatewayTimes, PeerEvent,
};
use interface::{DrainList, HostEntry, Presence};
use members::wire::encode_frame;
use members::{
    NodeIncarnation, NodePhase, NodeRecord, PeerEffect, PeerFrame, PeerMessage, PeerSettings,
    PeerState,
};
use watch::{WatchEffect, WatchEvent, WatchTimes};

/// Time within which an acknowledged change has to be in force at every serving node.
const CHANGE_BOUND: Duration = Duration::from_secs(3);
/// Size of the document.
const DOCUMENT_BYTES: usize = 300_000;
/// Interval between two changes.
const CHANGE_INTERVAL: Duration = Duration::from_millis(1_200);
/// Bytes a second of each node's link, in each direction: 20 Mbit/s.
const LINK_RATE: f64 = 2_500_000.0;
/// One-way delay between nodes and to the store.
const LATENCY: Duration = Duration::from_millis(1);
/// Time that the store's client allows beyond the end of a watch.
const WATCH_GRACE: Duration = Duration::from_millis(500);
/// Time until a call that the store turns away ends.
const REJECTION_DELAY: Duration = Duration::from_millis(50);
/// Time in which all nodes start and become ready.
const START_TIME: Duration = Duration::from_secs(10);
/// Interval between two looks at the versions in force.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);
const FAILURE_DOMAINS: [&str; 3] = ["kozep-a", "kozep-b", "kozep-c"];

const TIMES: GatewayTimes = GatewayTimes {
    watch: WatchTimes {
        poll_interval: Duration::from_millis(500),
        read_interval: Duration::from_secs(1),
        watch_timeout: Duration::from_millis(1_500),
    },
    report_validity: Duration::from_secs(2),
    balancer_notice: Duration::from_secs(5),
    drain_limit: Duration::from_secs(60),
};

/// What the store does with a node's calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StoreAccess {
    Answered,
    TurnedAway,
    /// The connection of the open watch has gone silent; the next one is answered.
    Silent,
}

/// Direction of a link, busy until the last byte queued has passed.
#[derive(Clone, Copy, Default)]
struct LinkQueue {
    free_at: ClockTime,
}

impl LinkQueue {
    /// Queues bytes that may start now; returns when the last one has passed.
    fn pass(&mut self, bytes: usize, now: ClockTime) -> ClockTime {
        let duration = Duration::from_secs_f64(bytes as f64 / LINK_RATE);
        self.free_at = self.free_at.max(now) + duration;
        self.free_at
    }
}

struct TestNode {
    gateway: GatewayLoop,
    run: u64,
    access: StoreAccess,
    outgoing: LinkQueue,
    incoming: LinkQueue,
    /// Open watch: version after which it waits, and its deadline.
    open_watch: Option<(u64, ClockTime)>,
    in_force: u64,
    is_ready: bool,
    wake_at: Option<ClockTime>,
    /// Bytes sent to other nodes by second.
    sent: BTreeMap<u64, usize>,
}

enum Arrival {
    Wake,
    Event(Box<GatewayEvent>),
    /// The watch with this deadline ends.
    WatchEnd(ClockTime),
}

/// Gateways, their links and the store.
struct Network {
    now: ClockTime,
    nodes: Vec<TestNode>,
    queue: BTreeMap<(ClockTime, u64), (usize, u64, Arrival)>,
    sequence: u64,
    /// Acknowledged versions, with their time and document.
    versions: Vec<(ClockTime, Arc<Document>)>,
    /// Longest time that a ready node used a superseded version, with the node and version.
    worst: (Duration, usize, u64),
    kinds: BTreeMap<&'static str, (usize, usize)>,
    first_look_at: ClockTime,
}

fn address(index: usize) -> SocketAddr {
    let (high, low) = (index / 200, index % 200);
    let ip = Ipv4Addr::new(
        127,
        0,
        u8::try_from(high).unwrap(),
        u8::try_from(low + 1).unwrap(),
    );
    SocketAddr::from((ip, 7_000))
}

fn record_of(index: usize, run: u64) -> NodeRecord {
    NodeRecord {
        node: NodeName::new(&format!("entry-{index}")).unwrap(),
        region: RegionName::new("kozep").unwrap(),
        domain: DomainName::new(FAILURE_DOMAINS[index % FAILURE_DOMAINS.len()]).unwrap(),
        address: address(index),
        incarnation: NodeIncarnation(run),
        refutations: 0,
        phase: NodePhase::Alive,
    }
}

fn start_loop(index: usize, count: usize, run: u64) -> GatewayLoop {
    let record = record_of(index, run);
    let (node, domain) = (record.node.clone(), record.domain.clone());
    let seed = 17 + index as u64 * 1_000 + run;
    let peers = PeerState::new(PeerSettings::default(), record, seed);
    let state = GatewayState::new(node, domain, TIMES, run, seed);
    let seeds = (0..3).map(|seed| address(seed * count / 3));
    GatewayLoop(state.with_peers(peers, seeds.collect()))
}

/// Document with a workspace of its own and a comment of the wanted size.
fn document_of(version: u64) -> Arc<Document> {
    let comment = "x".repeat(DOCUMENT_BYTES);
    let section = Section {
        owner: TeamName::new("desk").unwrap(),
        revision: SectionRevision(version),
        text: format!("workspaces:\n  team-{version}: {{services: []}}\n# {comment}\n").into(),
        edits: Default::default(),
    };
    let mut document = Document::default();
    document
        .sections
        .insert(SectionName::new("front").unwrap(), section);
    Arc::new(document)
}

fn kind_of(message: &PeerMessage) -> &'static str {
    match message {
        PeerMessage::Items(_) => "items",
        PeerMessage::Announce(_) => "announce",
        PeerMessage::Fetch(_) => "fetch",
        PeerMessage::Heartbeat(_) => "heartbeat",
        PeerMessage::Nodes(_) => "nodes",
        _ => "other",
    }
}

fn size_of(frame: &PeerFrame) -> usize {
    const ENVELOPE_BYTES: usize = 100;
    match &frame.message {
        PeerMessage::Items(items) => {
            let bodies = items.iter().flat_map(|item| &item.body);
            ENVELOPE_BYTES + bodies.map(|body| body.len()).sum::<usize>()
        }
        _ => encode_frame(frame.clone()).len(),
    }
}

impl Network {
    fn new(count: usize) -> Self {
        let now = ClockTime::from_millis(50_000);
        let nodes = (0..count).map(|index| TestNode {
            gateway: start_loop(index, count, 1),
            run: 1,
            access: StoreAccess::Answered,
            outgoing: LinkQueue::default(),
            incoming: LinkQueue::default(),
            open_watch: None,
            in_force: 0,
            is_ready: false,
            wake_at: None,
            sent: BTreeMap::new(),
        });
        let mut network = Self {
            now,
            nodes: nodes.collect(),
            queue: BTreeMap::new(),
            sequence: 0,
            versions: vec![(now, document_of(1))],
            worst: (Duration::ZERO, 0, 0),
            kinds: BTreeMap::new(),
            first_look_at: now + START_TIME,
        };
        for index in 0..count {
            let at = now + Duration::from_millis(5) * u32::try_from(index).unwrap();
            network.push(at, index, Arrival::Wake);
        }
        network
    }

    fn push(&mut self, at: ClockTime, index: usize, arrival: Arrival) {
        self.sequence += 1;
        let run = self.nodes[index].run;
        self.queue
            .insert((at, self.sequence), (index, run, arrival));
    }

    /// Delivers a result of a read.
    fn push_read(&mut self, at: ClockTime, index: usize, event: WatchEvent) {
        let event = Box::new(GatewayEvent::Watch(event));
        self.push(at, index, Arrival::Event(event));
    }

    fn newest(&self) -> u64 {
        self.versions.len() as u64
    }

    /// Acknowledges a change, which ends the watches that wait for it.
    fn change(&mut self) {
        let version = self.newest() + 1;
        self.versions.push((self.now, document_of(version)));
        for index in 0..self.nodes.len() {
            if self.nodes[index].access != StoreAccess::Answered {
                continue;
            }
            if let Some((_, deadline)) = self.nodes[index].open_watch.take() {
                self.send_document(index, deadline);
            }
        }
    }

    /// Sends the document to a node; a response that isn't there in time fails.
    fn send_document(&mut self, index: usize, deadline: ClockTime) {
        let version = self.newest();
        let document = self.versions.last().unwrap().1.clone();
        let arrives_at = self.nodes[index]
            .incoming
            .pass(DOCUMENT_BYTES, self.now + LATENCY);
        let fails_at = deadline + WATCH_GRACE;
        let (at, read) = if arrives_at <= fails_at {
            (arrives_at, Some((ObjectVersion(version), document)))
        } else {
            (fails_at, None)
        };
        self.push_read(at, index, WatchEvent::DocumentRead(read));
    }

    fn restart(&mut self, index: usize) {
        let count = self.nodes.len();
        let node = &mut self.nodes[index];
        node.run += 1;
        node.gateway = start_loop(index, count, node.run);
        node.open_watch = None;
        node.in_force = 0;
        node.is_ready = false;
        node.wake_at = None;
        self.push(self.now, index, Arrival::Wake);
    }

    fn run_for(&mut self, duration: Duration) {
        let end = self.now + duration;
        let mut look_at = self.now + LOOK_INTERVAL;
        while self.now < end {
            let next = self.queue.first_key_value().map_or(end, |((at, _), _)| *at);
            if next > look_at.min(end) {
                self.now = look_at.min(end);
                look_at = self.now + LOOK_INTERVAL;
                self.look_at_all();
                continue;
            }
            let ((at, _), (index, run, arrival)) = self.queue.pop_first().unwrap();
            self.now = self.now.max(at);
            if self.nodes[index].run == run {
                self.process(index, arrival);
            }
        }
    }

    fn process(&mut self, index: usize, arrival: Arrival) {
        let now = self.now;
        let node = &mut self.nodes[index];
        let effects = match arrival {
            Arrival::Wake => {
                node.wake_at = None;
                node.gateway.wake(now)
            }
            Arrival::Event(event) => node.gateway.handle(*event, now),
            Arrival::WatchEnd(deadline) => {
                if node.open_watch.is_none_or(|(_, open)| open != deadline) {
                    return;
                }
                node.open_watch = None;
                if node.access == StoreAccess::Silent {
                    node.access = StoreAccess::Answered;
                    let failed = WatchEvent::DocumentRead(None);
                    self.push_read(deadline + WATCH_GRACE, index, failed);
                    return;
                }
                let event = GatewayEvent::Watch(WatchEvent::DocumentUnchanged);
                node.gateway.handle(event, now)
            }
        };
        self.execute_all(index, effects);
    }

    fn execute_all(&mut self, index: usize, effects: Vec<GatewayEffect>) {
        for effect in effects {
            match effect {
                GatewayEffect::Watch(read) => self.read(index, read),
                GatewayEffect::Peer(PeerEffect::Send { to, frame }) => self.send(index, to, frame),
                _ => {}
            }
        }
        let node = &self.nodes[index];
        let due = node.gateway.next_deadline();
        if let Some(due) = due.map(|due| due.max(self.now + Duration::from_millis(1)))
            && node.wake_at.is_none_or(|wake_at| due < wake_at)
        {
            self.nodes[index].wake_at = Some(due);
            self.push(due, index, Arrival::Wake);
        }
    }

    fn read(&mut self, index: usize, read: WatchEffect) {
        let answered_at = self.now + LATENCY * 2;
        let is_turned_away = self.nodes[index].access == StoreAccess::TurnedAway;
        let rejected_at = self.now + REJECTION_DELAY;
        let listed = |event| match is_turned_away {
            true => rejected_at,
            false => event,
        };
        let at = listed(answered_at);
        let event = match read {
            WatchEffect::ReadDocument { after, deadline } => {
                if is_turned_away {
                    WatchEvent::DocumentRead(None)
                } else if self.newest() > after.0 {
                    self.send_document(index, deadline);
                    return;
                } else {
                    self.nodes[index].open_watch = Some((after.0, deadline));
                    self.push(deadline, index, Arrival::WatchEnd(deadline));
                    return;
                }
            }
            WatchEffect::ReadFabrics => WatchEvent::FabricsRead((!is_turned_away).then(Vec::new)),
            WatchEffect::ReadHosts => {
                WatchEvent::HostsRead((!is_turned_away).then(|| vec![server()]))
            }
            WatchEffect::ReadDrains => {
                WatchEvent::DrainsRead((!is_turned_away).then(DrainList::default))
            }
            WatchEffect::CountGateways => {
                let count = self.nodes.len();
                WatchEvent::GatewaysCounted((!is_turned_away).then_some(count))
            }
            WatchEffect::ReadGoodSections => WatchEvent::GoodSectionsRead(None),
            WatchEffect::PollHost { .. } => return,
        };
        self.push_read(at, index, event);
    }

    fn send(&mut self, index: usize, to: SocketAddr, frame: PeerFrame) {
        let bytes = size_of(&frame);
        let counts = self.kinds.entry(kind_of(&frame.message)).or_default();
        counts.0 += 1;
        counts.1 += bytes;
        let second = self.now.0 / 1_000_000;
        *self.nodes[index].sent.entry(second).or_default() += bytes;
        let Some(target) = (0..self.nodes.len()).find(|&other| address(other) == to) else {
            return;
        };
        let left_at = self.nodes[index].outgoing.pass(bytes, self.now);
        let duration = Duration::from_secs_f64(bytes as f64 / LINK_RATE);
        let begins_at = left_at.before(duration) + LATENCY;
        let at = self.nodes[target].incoming.pass(bytes, begins_at);
        let source: IpAddr = address(index).ip();
        let event = PeerEvent::Frame { source, frame };
        let event = Box::new(GatewayEvent::Peer(event));
        self.push(at, target, Arrival::Event(event));
    }

    /// Records the versions in force and for how long they have been superseded.
    fn look_at_all(&mut self) {
        for index in 0..self.nodes.len() {
            let (in_force, is_ready) = self.look_at(index);
            self.nodes[index].in_force = in_force;
            self.nodes[index].is_ready = is_ready;
            let superseded_by = usize::try_from(in_force).unwrap();
            if let Some((acked_at, _)) = self.versions.get(superseded_by)
                && is_ready
                && self.now >= self.first_look_at
            {
                let age = self.now.since(*acked_at);
                self.worst = self.worst.max((age, index, in_force));
            }
        }
    }

    fn look_at(&mut self, index: usize) -> (u64, bool) {
        let query = GatewayQuery::Status;
        let event = GatewayEvent::QueryReceived { id: 1, query };
        let mut effects = self.nodes[index].gateway.handle(event, self.now);
        let mut replies =
            effects.extract_if(.., |effect| matches!(effect, GatewayEffect::Reply { .. }));
        let reply = replies.next().expect("a query is replied to");
        drop(replies);
        self.execute_all(index, effects);
        match reply {
            GatewayEffect::Reply {
                reply: GatewayReply::Status(status),
                ..
            } => (status.config.in_force.version.0, status.ready),
            effect => panic!("not a status: {effect:?}"),
        }
    }

    fn ready_count(&self) -> usize {
        self.nodes.iter().filter(|node| node.is_ready).count()
    }

    /// Most bytes that one node sent to others in a second since traffic began.
    fn busiest_second(&self) -> usize {
        let since = self.first_look_at.0 / 1_000_000;
        let sent = self.nodes.iter().flat_map(|node| node.sent.range(since..));
        sent.map(|(_, bytes)| *bytes).max().unwrap_or(0)
    }

    fn report(&self, case: &str) {
        let (age, index, version) = self.worst;
        println!(
            "{case}, {} nodes: worst {age:?} at node {index} with version {version} of {}; \
             busiest second {} kB; ready {}; messages {:?}",
            self.nodes.len(),
            self.newest(),
            self.busiest_second() / 1_000,
            self.ready_count(),
            self.kinds,
        );
    }
}

fn server() -> HostEntry {
    HostEntry {
        host: HostName::new("server-1").unwrap(),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 9)),
        domain: DomainName::new("kozep-a").unwrap(),
        fabric: None,
        service: Some(ServiceName::new("foglalas").unwrap()),
        accelerators: 0,
        presence: Presence::Live,
    }
}

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
