//! Gateways on links of limited bandwidth and their store, without sockets.
//!
//! Each node's link carries its frames and its reads of the store, each direction in the order in
//! which they come.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use base::prelude::*;
use document::{Document, KeyDigest, Section};
use gateway::{
    CallArrival, CallKind, CallStep, GatewayEffect, GatewayEvent, GatewayLoop, GatewayQuery,
    GatewayReply, GatewayState, GatewayTimes, PeerEvent, RefusalCause,
};
use interface::{DrainList, HostEntry, Presence};
use ledger::RequestDigest;
use limits::CallPriority;
use members::wire::encode_frame;
use members::{
    NodeIncarnation, NodePhase, NodeRecord, PeerEffect, PeerFrame, PeerMessage, PeerSettings,
    PeerState,
};
use watch::{WatchEffect, WatchEvent, WatchTimes};

/// Key of the caller in every document, and the service that it may call.
const KNOWN_KEY: &str = "known-key";
const SERVICE: &str = "foglalas";
/// Time within which an acknowledged change has to be in force at every serving node.
pub const CHANGE_BOUND: Duration = Duration::from_secs(3);
/// Size of the document.
const DOCUMENT_BYTES: usize = 300_000;
/// Interval between two changes.
pub const CHANGE_INTERVAL: Duration = Duration::from_millis(1_200);
/// Bytes a second of each node's link, in each direction: 20 Mbit/s.
const LINK_RATE: f64 = 2_500_000.0;
/// One-way delay between nodes and to the store.
const LATENCY: Duration = Duration::from_millis(1);
/// Time that the store's client allows beyond the end of a watch.
const WATCH_GRACE: Duration = Duration::from_millis(500);
/// Time until a call that the store turns away ends.
const REJECTION_DELAY: Duration = Duration::from_millis(50);
/// Time in which all nodes start and become ready.
pub const START_TIME: Duration = Duration::from_secs(10);
/// Interval between two looks at the versions in force.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);
pub const FAILURE_DOMAINS: [&str; 3] = ["kozep-a", "kozep-b", "kozep-c"];

pub const TIMES: GatewayTimes = GatewayTimes {
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
pub enum StoreAccess {
    Answered,
    TurnedAway,
    /// The connection of the open watch has gone silent; the next one is answered.
    Silent,
}

/// Foreign bytes that fill links.
#[derive(Clone, Copy)]
pub struct LinkFilling {
    /// Interval at which they arrive.
    pub interval: Duration,
    /// How long others wait behind them.
    pub delay: Duration,
    /// Nodes whose links they fill.
    pub is_filled: fn(usize) -> bool,
}

/// Direction of a link, busy until the last byte queued has passed.
#[derive(Clone, Copy, Default)]
pub struct LinkQueue {
    free_at: ClockTime,
}

impl LinkQueue {
    /// Queues bytes that may start now; returns when the last one has passed.
    pub fn pass(&mut self, bytes: usize, now: ClockTime) -> ClockTime {
        let duration = Duration::from_secs_f64(bytes as f64 / LINK_RATE);
        self.free_at = self.free_at.max(now) + duration;
        self.free_at
    }
}

pub struct TestNode {
    pub gateway: GatewayLoop,
    run: u64,
    pub access: StoreAccess,
    outgoing: LinkQueue,
    pub incoming: LinkQueue,
    /// Open watch: version after which it waits, and its deadline.
    pub open_watch: Option<(u64, ClockTime)>,
    in_force: u64,
    pub is_ready: bool,
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
pub struct Network {
    pub now: ClockTime,
    pub nodes: Vec<TestNode>,
    queue: BTreeMap<(ClockTime, u64), (usize, u64, Arrival)>,
    sequence: u64,
    /// Acknowledged versions, with their time and document.
    versions: Vec<(ClockTime, Arc<Document>)>,
    /// Longest time that a ready node used a superseded version, with the node and version.
    pub worst: (Duration, usize, u64),
    /// The same for calls that a node has taken or finally refused by such a version.
    pub worst_served: (Duration, usize, u64),
    /// Nodes that frames with documents don't reach.
    pub without_documents: BTreeSet<usize>,
    next_call: u64,
    /// Foreign bytes on the links to some nodes.
    pub filling: Option<LinkFilling>,
    filled_at: ClockTime,
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

pub fn record_of(index: usize, run: u64) -> NodeRecord {
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

/// Document with a workspace of its own for the known key, and a comment of the wanted size.
fn document_of(version: u64) -> Arc<Document> {
    let comment = "x".repeat(DOCUMENT_BYTES);
    let key = KeyDigest::of_key(KNOWN_KEY).to_hex();
    let section = Section {
        owner: TeamName::new("desk").unwrap(),
        revision: SectionRevision(version),
        text: format!(
            "services:\n  {SERVICE}: {{plain: {{}}}}\nworkspaces:\n  team-{version}: \
             {{services: [{SERVICE}], callers: {{desk: {{key_sha256: {key}}}}}}}\n# {comment}\n"
        )
        .into(),
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
        PeerMessage::Notice { .. } => "notice",
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
    pub fn new(count: usize) -> Self {
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
            worst_served: (Duration::ZERO, 0, 0),
            without_documents: BTreeSet::new(),
            next_call: 0,
            filling: None,
            filled_at: now,
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
    pub fn change(&mut self) {
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

    pub fn restart(&mut self, index: usize) {
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

    pub fn run_for(&mut self, duration: Duration) {
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
            self.fill_links();
            if self.nodes[index].run == run {
                self.process(index, arrival);
            }
        }
    }

    /// Lets foreign bytes arrive if they are due.
    fn fill_links(&mut self) {
        let Some(filling) = self.filling else {
            return;
        };
        if self.now < self.filled_at + filling.interval {
            return;
        }
        self.filled_at = self.now;
        let busy_until = self.now + filling.delay;
        for (index, node) in self.nodes.iter_mut().enumerate() {
            if (filling.is_filled)(index) {
                node.incoming.free_at = node.incoming.free_at.max(busy_until);
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
        let is_document = matches!(frame.message, PeerMessage::Items(_));
        if is_document && self.without_documents.contains(&target) {
            return;
        }
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
            // A node that is no longer ready still gets calls.
            let is_ready = is_ready || self.nodes[index].is_ready;
            self.nodes[index].in_force = in_force;
            self.nodes[index].is_ready = is_ready;
            let superseded_by = usize::try_from(in_force).unwrap();
            if let Some((acked_at, _)) = self.versions.get(superseded_by)
                && is_ready
                && self.now >= self.first_look_at
            {
                let age = self.now.since(*acked_at);
                self.worst = self.worst.max((age, index, in_force));
                if age > CHANGE_BOUND && self.answers_by_document(index) {
                    self.worst_served = self.worst_served.max((age, index, in_force));
                }
            }
        }
    }

    /// Whether a node takes a call, or refuses it for good, by the document that it has.
    fn answers_by_document(&mut self, index: usize) -> bool {
        self.next_call += 1;
        let call = CallId(self.next_call);
        let arrival = CallArrival {
            call,
            digest: KeyDigest::of_key(KNOWN_KEY),
            service: ServiceName::new(SERVICE).unwrap(),
            kind: CallKind::Plain {
                method: Arc::from("GET"),
                path: Arc::from("/"),
                digest: RequestDigest::of_call("GET", "/", b""),
            },
            key: None,
            priority: CallPriority::Normal,
            timeout: None,
        };
        let gateway = &mut self.nodes[index].gateway;
        let mut effects = gateway.handle(GatewayEvent::CallArrived(arrival), self.now);
        let is_refused = effects.iter().any(|effect| {
            matches!(
                effect,
                GatewayEffect::Step { step: CallStep::Refuse(refusal), .. }
                    if refusal.cause == RefusalCause::DocumentBehind
            )
        });
        effects.extend(gateway.handle(GatewayEvent::CallerDisconnected { call }, self.now));
        self.execute_all(index, effects);
        !is_refused
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

    pub fn ready_count(&self) -> usize {
        self.nodes.iter().filter(|node| node.is_ready).count()
    }

    /// Most bytes that one node sent to others in a second since traffic began.
    fn busiest_second(&self) -> usize {
        let since = self.first_look_at.0 / 1_000_000;
        let sent = self.nodes.iter().flat_map(|node| node.sent.range(since..));
        sent.map(|(_, bytes)| *bytes).max().unwrap_or(0)
    }

    pub fn report(&self, case: &str) {
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
