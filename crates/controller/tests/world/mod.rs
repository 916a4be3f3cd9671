//! Three controllers with one store and engines that ignore fencing tokens.

#[path = "../../../groups/tests/world/engine.rs"]
mod engine;

use std::collections::{BTreeMap, BTreeSet};

use base::prelude::*;
use controller::{
    ControllerEffect, ControllerEvent, ControllerLoop, ControllerState, ControllerTimes,
};
use document::{Document, Section};
use engine::FakeEngine;
use futures_util::FutureExt;
use groups::{FabricEffect, FabricRecord, FabricWire, GroupSettings, HostOrder};
use interface::keys::fabric_key;
use interface::{DrainList, HostEntry, Presence, read_fabric, read_fabrics};
use store::{MemoryStore, ObjectChange, ObjectStore, UpdateFault, UpdateOutcome};
use watch::{WatchEffect, WatchEvent, WatchTimes};

/// Step of the simulated time.
const TICK: Duration = Duration::from_millis(100);
const LOAD_DURATION: Duration = Duration::from_secs(2);
const FABRICS: [&str; 2] = ["kozep-a-1", "kozep-b-1"];
const HOSTS_PER_FABRIC: usize = 5;
pub const HOSTS: usize = FABRICS.len() * HOSTS_PER_FABRIC;
pub const NODES: usize = 3;
const DOCUMENT: &str =
    "deployments:\n  quotes: {model: fogas-7b, group_size: 2, groups: 3, checks_fencing: false}\n";

/// One controller and the events on their way to it.
struct Node {
    handler: ControllerLoop,
    process: u64,
    paused: bool,
    finished: bool,
    mailbox: Vec<(ClockTime, ControllerEvent)>,
}

struct SentOrder {
    due: ClockTime,
    host: HostName,
    order: HostOrder,
}

pub struct World {
    pub now: ClockTime,
    pub store: MemoryStore,
    /// Delay of every response.
    pub response_delay: Duration,
    /// Delay of every order; shorter than the longest time that an order may be in
    /// transit.
    pub order_delay: Duration,
    /// Nodes that cannot reach any engine.
    pub isolated_from_engines: BTreeSet<usize>,
    /// Nodes that cannot reach the store.
    pub isolated_from_store: BTreeSet<usize>,
    nodes: Vec<Node>,
    engines: Vec<FakeEngine>,
    entries: Vec<HostEntry>,
    orders: Vec<SentOrder>,
    tokens: BTreeMap<HostName, FencingToken>,
    pub accepted_orders: usize,
}

impl World {
    pub fn new() -> Self {
        let entries: Vec<HostEntry> = (0..HOSTS).map(list_host).collect();
        let engines = entries.iter();
        let engines = engines.map(|entry| FakeEngine::new(&entry.host, false, LOAD_DURATION));
        let mut world = Self {
            now: ClockTime::from_millis(100_000),
            store: MemoryStore::default(),
            response_delay: Duration::ZERO,
            order_delay: Duration::ZERO,
            isolated_from_engines: BTreeSet::new(),
            isolated_from_store: BTreeSet::new(),
            nodes: Vec::new(),
            engines: engines.collect(),
            entries,
            orders: Vec::new(),
            tokens: BTreeMap::new(),
            accepted_orders: 0,
        };
        for node in 0..NODES {
            world.nodes.push(start_node(node, 1));
        }
        world
    }

    pub fn advance(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now = self.now + TICK;
            self.store.advance(TICK);
            self.deliver_orders();
            for node in 0..NODES {
                self.run_node(node);
            }
        }
        self.check_hosts();
    }

    fn run_node(&mut self, node: usize) {
        if self.nodes[node].paused || self.nodes[node].finished {
            return;
        }
        let now = self.now;
        let is_due = |(due, _): &(ClockTime, ControllerEvent)| *due <= now;
        while let Some(at) = self.nodes[node].mailbox.iter().position(is_due) {
            let (_, event) = self.nodes[node].mailbox.remove(at);
            let effects = self.nodes[node].handler.handle(event, now);
            self.execute(node, effects);
        }
        let effects = self.nodes[node].handler.wake(now);
        self.execute(node, effects);
    }

    fn execute(&mut self, node: usize, effects: Vec<ControllerEffect>) {
        for effect in effects {
            match effect {
                ControllerEffect::Watch(read) => self.read(node, read),
                ControllerEffect::Fabric(effect) => self.execute_fabric_effect(node, effect),
                ControllerEffect::Finish => self.nodes[node].finished = true,
                ControllerEffect::Reply { .. } | ControllerEffect::Deregister => {}
            }
        }
    }

    fn schedule(&mut self, node: usize, event: ControllerEvent) {
        let due = self.now + self.response_delay;
        self.nodes[node].mailbox.push((due, event));
    }

    fn read(&mut self, node: usize, read: WatchEffect) {
        let event = match read {
            WatchEffect::ReadDocument { after, deadline } => {
                let read = Some((ObjectVersion(1), document()));
                let event = ControllerEvent::Watch(WatchEvent::DocumentRead(read));
                let known = after != ObjectVersion::default();
                let due = if known { deadline } else { self.now };
                self.nodes[node].mailbox.push((due, event));
                return;
            }
            WatchEffect::ReadGoodSections => WatchEvent::GoodSectionsRead(None),
            WatchEffect::ReadFabrics => {
                let read = read_fabrics(&self.store).now_or_never();
                let read = read.expect("the memory store answers reads at once");
                WatchEvent::FabricsRead(read.filter(|_| !self.isolated_from_store.contains(&node)))
            }
            WatchEffect::ReadHosts => WatchEvent::HostsRead(Some(self.entries.clone())),
            WatchEffect::CountGateways => WatchEvent::GatewaysCounted(None),
            WatchEffect::ReadDrains => WatchEvent::DrainsRead(Some(DrainList::default())),
            WatchEffect::PollHost { host, .. } => {
                let engine = self.engine(&host);
                let has_report = engine.up && !self.isolated_from_engines.contains(&node);
                WatchEvent::HostReported {
                    report: has_report.then(|| engine.report(self.now)),
                    polled_at: self.now,
                    host,
                }
            }
        };
        self.schedule(node, ControllerEvent::Watch(event));
    }

    fn execute_fabric_effect(&mut self, node: usize, effect: FabricEffect) {
        match effect {
            FabricEffect::Read { fabric } => {
                let read = read_fabric(&self.store, &fabric).now_or_never();
                let read = read.expect("the memory store answers reads at once");
                let read = read.filter(|_| !self.isolated_from_store.contains(&node));
                self.schedule(node, ControllerEvent::FabricRead { fabric, read });
            }
            FabricEffect::Write { record, expected } => self.write(node, record, expected),
            FabricEffect::Order {
                host,
                order,
                not_after,
                ..
            } => {
                if self.now < not_after && !self.isolated_from_engines.contains(&node) {
                    let due = self.now + self.order_delay;
                    self.orders.push(SentOrder { due, host, order });
                }
            }
        }
    }

    fn write(&mut self, node: usize, record: FabricRecord, expected: ObjectVersion) {
        let (fabric, nonce) = (record.fabric.clone(), record.nonce);
        let value = serde_json::to_string(&FabricWire::from(record)).unwrap();
        let change = ObjectChange {
            key: fabric_key(&fabric),
            expected,
            value: Arc::from(value),
        };
        let outcome = if self.isolated_from_store.contains(&node) {
            UpdateOutcome::Unavailable
        } else {
            let outcome = self.store.update(change).now_or_never();
            outcome.expect("the memory store answers updates at once")
        };
        self.check_hosts();
        let event = ControllerEvent::FabricWritten {
            fabric,
            nonce,
            outcome,
        };
        self.schedule(node, event);
    }

    fn deliver_orders(&mut self) {
        let now = self.now;
        let is_due = |sent: &SentOrder| sent.due <= now;
        while let Some(at) = self.orders.iter().position(is_due) {
            let sent = self.orders.remove(at);
            self.deliver(&sent);
        }
    }

    /// Delivers an order to its engine. The engines ignore fencing tokens, so that an
    /// order of an older owner must never arrive after one of a newer owner.
    fn deliver(&mut self, sent: &SentOrder) {
        let token = token_of(&sent.order);
        let newest = self.tokens.entry(sent.host.clone()).or_default();
        assert!(
            token >= *newest,
            "{:?} got an order with token {token} after one with {newest}",
            sent.host
        );
        *newest = token;
        self.accepted_orders += 1;
        let now = self.now;
        let index = self.index(&sent.host);
        self.engines[index].receive(&sent.order, now);
    }

    fn index(&self, host: &HostName) -> usize {
        let mut engines = self.engines.iter();
        engines
            .position(|engine| engine.host == *host)
            .expect("only engines are polled and get orders")
    }

    fn engine(&self, host: &HostName) -> &FakeEngine {
        &self.engines[self.index(host)]
    }

    fn records(&self) -> Vec<FabricRecord> {
        let records = FABRICS.iter().filter_map(|fabric| {
            let fabric = FabricName::new(fabric).unwrap();
            let read = read_fabric(&self.store, &fabric).now_or_never()?;
            Some(read??.0)
        });
        records.collect()
    }

    /// Checks that no host belongs to two groups.
    fn check_hosts(&self) {
        let mut seen = BTreeSet::new();
        let records = self.records();
        for group in records.iter().flat_map(|record| &record.groups) {
            for member in &group.members {
                assert!(seen.insert(&member.host), "{:?} is in two groups", member);
            }
        }
    }

    pub fn pause_engine(&mut self, index: usize) {
        self.engines[index].up = false;
    }

    pub fn resume_engine(&mut self, index: usize) {
        self.engines[index].up = true;
    }

    pub fn restart_engine(&mut self, index: usize) {
        self.engines[index].restart();
    }

    pub fn list_host(&mut self, index: usize, presence: Presence) {
        self.entries[index].presence = presence;
    }

    pub fn pause(&mut self, node: usize) {
        self.nodes[node].paused = true;
    }

    pub fn resume(&mut self, node: usize) {
        self.nodes[node].paused = false;
    }

    /// Replaces a process, running or not, by a new one.
    pub fn restart(&mut self, node: usize) {
        self.nodes[node] = start_node(node, self.nodes[node].process + 1);
    }

    pub fn request_shutdown(&mut self, node: usize) {
        let now = self.now;
        let mailbox = &mut self.nodes[node].mailbox;
        mailbox.push((now, ControllerEvent::ShutdownRequested));
    }

    pub fn fail_update(&mut self, fault: UpdateFault) {
        self.store.inject_update_faults([Some(fault)]);
    }

    /// Repairs all faults.
    pub fn repair_all(&mut self) {
        self.store.set_down(false);
        self.response_delay = Duration::ZERO;
        self.order_delay = Duration::ZERO;
        self.isolated_from_engines.clear();
        self.isolated_from_store.clear();
        for node in 0..NODES {
            self.resume(node);
            if self.nodes[node].finished {
                self.restart(node);
            }
        }
        for index in 0..HOSTS {
            self.resume_engine(index);
            self.list_host(index, Presence::Live);
        }
    }

    /// Checks that every group is complete and its engines have their assignments.
    pub fn check_complete(&self) {
        let records = self.records();
        let groups: Vec<_> = records.iter().flat_map(|record| &record.groups).collect();
        assert_eq!(groups.len(), 3, "{groups:?}");
        for group in groups {
            for (rank, member) in group.members.iter().enumerate() {
                let report = self.engine(&member.host).report(self.now);
                let assignment = report.assignment.expect("every member has an assignment");
                assert_eq!(
                    (&assignment.group, assignment.epoch),
                    (&group.group, group.epoch)
                );
                assert_eq!(assignment.rank, rank);
                assert_eq!(report.incarnation, member.incarnation);
            }
        }
    }

    /// Checks that every controller has ended and no lease is left.
    pub fn check_released(&self) {
        assert!(self.nodes.iter().all(|node| node.finished));
        for record in self.records() {
            assert_eq!(record.lease, None, "{:?}", record.fabric);
        }
    }
}

fn token_of(order: &HostOrder) -> FencingToken {
    match order {
        HostOrder::Join(join) => join.token,
        HostOrder::Standby { token, .. } | HostOrder::Idle { token, .. } => *token,
    }
}

fn list_host(index: usize) -> HostEntry {
    let fabric = FABRICS[index / HOSTS_PER_FABRIC];
    HostEntry {
        host: HostName::new(&format!("h{index}")).unwrap(),
        address: format!("127.0.0.1:{}", 9_000 + index).parse().unwrap(),
        domain: DomainName::new(&fabric[..7]).unwrap(),
        fabric: Some(FabricName::new(fabric).unwrap()),
        service: None,
        accelerators: 8,
        presence: Presence::Live,
    }
}

fn start_node(node: usize, process: u64) -> Node {
    let times = ControllerTimes {
        watch: WatchTimes {
            poll_interval: Duration::from_millis(500),
            read_interval: Duration::from_secs(1),
            watch_timeout: Duration::from_secs(20),
        },
        release_limit: Duration::from_secs(10),
    };
    let name = NodeName::new(&format!("entry-{node}")).unwrap();
    let domain = DomainName::new("kozep-a").unwrap();
    let settings = GroupSettings::default();
    let seed = process * 10 + node as u64;
    let process_id = process * 10 + node as u64;
    let state = ControllerState::new(name, domain, times, settings, process_id, seed);
    Node {
        handler: ControllerLoop(state),
        process,
        paused: false,
        finished: false,
        mailbox: Vec::new(),
    }
}

fn document() -> Arc<Document> {
    let section = Section {
        owner: TeamName::new("ml").unwrap(),
        revision: SectionRevision(1),
        text: Arc::from(DOCUMENT),
        edits: Default::default(),
    };
    let mut document = Document::default();
    let name = SectionName::new("models").unwrap();
    document.sections.insert(name, section);
    Arc::new(document)
}
