//! Three controllers before one store and engines that ignore fencing tokens.

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

/// Step of the model's time.
const TICK: Duration = Duration::from_millis(100);
const LOAD_SPAN: Duration = Duration::from_secs(2);
const FABRICS: [&str; 2] = ["kozep-a-1", "kozep-b-1"];
const HOSTS_PER_FABRIC: usize = 5;
pub const HOSTS: usize = FABRICS.len() * HOSTS_PER_FABRIC;
pub const NODES: usize = 3;
const DOCUMENT: &str =
    "deployments:\n  quotes: {model: fogas-7b, group_size: 2, groups: 3, checks_fencing: false}\n";

/// One controller and what is on its way to it.
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
    /// Delay of every answer.
    pub lag: Duration,
    /// Delay of every order; below the longest that one may be under way.
    pub order_lag: Duration,
    /// Nodes that reach no engine.
    pub cut: BTreeSet<usize>,
    /// Nodes that do not reach the store.
    pub store_cut: BTreeSet<usize>,
    nodes: Vec<Node>,
    engines: Vec<FakeEngine>,
    entries: Vec<HostEntry>,
    orders: Vec<SentOrder>,
    tokens: BTreeMap<HostName, FencingToken>,
    pub taken_orders: usize,
}

impl World {
    pub fn new() -> Self {
        let entries: Vec<HostEntry> = (0..HOSTS).map(list_host).collect();
        let engines = entries.iter();
        let engines = engines.map(|entry| FakeEngine::new(&entry.host, false, LOAD_SPAN));
        let mut world = Self {
            now: ClockTime::from_millis(100_000),
            store: MemoryStore::default(),
            lag: Duration::ZERO,
            order_lag: Duration::ZERO,
            cut: BTreeSet::new(),
            store_cut: BTreeSet::new(),
            nodes: Vec::new(),
            engines: engines.collect(),
            entries,
            orders: Vec::new(),
            tokens: BTreeMap::new(),
            taken_orders: 0,
        };
        for node in 0..NODES {
            world.nodes.push(start_node(node, 1));
        }
        world
    }

    pub fn pass(&mut self, span: Duration) {
        let end = self.now + span;
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
                ControllerEffect::Fabric(effect) => self.act(node, effect),
                ControllerEffect::Finish => self.nodes[node].finished = true,
                ControllerEffect::Tell { .. } | ControllerEffect::Withdraw => {}
            }
        }
    }

    fn reply(&mut self, node: usize, event: ControllerEvent) {
        let due = self.now + self.lag;
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
                let read = read.expect("no slow reads");
                WatchEvent::FabricsRead(read.filter(|_| !self.store_cut.contains(&node)))
            }
            WatchEffect::ReadHosts => WatchEvent::HostsRead(Some(self.entries.clone())),
            WatchEffect::ReadNodes => WatchEvent::NodesRead(None),
            WatchEffect::ReadDrains => WatchEvent::DrainsRead(Some(DrainList::default())),
            WatchEffect::PollHost { host, .. } => {
                let engine = self.engine(&host);
                let heard = engine.up && !self.cut.contains(&node);
                WatchEvent::HostReported {
                    report: heard.then(|| engine.report(self.now)),
                    polled_at: self.now,
                    host,
                }
            }
        };
        self.reply(node, ControllerEvent::Watch(event));
    }

    fn act(&mut self, node: usize, effect: FabricEffect) {
        match effect {
            FabricEffect::Read { fabric } => {
                let read = read_fabric(&self.store, &fabric).now_or_never();
                let read = read.expect("no slow reads");
                let read = read.filter(|_| !self.store_cut.contains(&node));
                self.reply(node, ControllerEvent::FabricRead { fabric, read });
            }
            FabricEffect::Write { record, expected } => self.write(node, record, expected),
            FabricEffect::Order {
                host,
                order,
                not_after,
                ..
            } => {
                if self.now < not_after && !self.cut.contains(&node) {
                    let due = self.now + self.order_lag;
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
        let outcome = if self.store_cut.contains(&node) {
            UpdateOutcome::Unavailable
        } else {
            let outcome = self.store.update(change).now_or_never();
            outcome.expect("no slow updates")
        };
        self.check_hosts();
        let event = ControllerEvent::FabricWritten {
            fabric,
            nonce,
            outcome,
        };
        self.reply(node, event);
    }

    fn deliver_orders(&mut self) {
        let now = self.now;
        let is_due = |sent: &SentOrder| sent.due <= now;
        while let Some(at) = self.orders.iter().position(is_due) {
            let sent = self.orders.remove(at);
            self.deliver(&sent);
        }
    }

    /// An engine that ignores tokens must never be given an older owner's order.
    fn deliver(&mut self, sent: &SentOrder) {
        let token = token_of(&sent.order);
        let newest = self.tokens.entry(sent.host.clone()).or_default();
        assert!(
            token >= *newest,
            "{:?} got an order with token {token} after one with {newest}",
            sent.host
        );
        *newest = token;
        self.taken_orders += 1;
        let now = self.now;
        let index = self.index(&sent.host);
        self.engines[index].receive(&sent.order, now);
    }

    fn index(&self, host: &HostName) -> usize {
        let mut engines = self.engines.iter();
        engines
            .position(|engine| engine.host == *host)
            .expect("only engines are asked and ordered")
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

    /// No host belongs to two groups.
    fn check_hosts(&self) {
        let mut seen = BTreeSet::new();
        let records = self.records();
        for group in records.iter().flat_map(|record| &record.groups) {
            for member in &group.members {
                assert!(seen.insert(&member.host), "{:?} is in two groups", member);
            }
        }
    }

    pub fn kill_engine(&mut self, index: usize) {
        self.engines[index].up = false;
    }

    pub fn wake_engine(&mut self, index: usize) {
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

    pub fn wake(&mut self, node: usize) {
        self.nodes[node].paused = false;
    }

    /// A process ends, if it has not yet, and another starts in its place.
    pub fn restart(&mut self, node: usize) {
        self.nodes[node] = start_node(node, self.nodes[node].process + 1);
    }

    pub fn request_stop(&mut self, node: usize) {
        let now = self.now;
        let mailbox = &mut self.nodes[node].mailbox;
        mailbox.push((now, ControllerEvent::StopRequested));
    }

    pub fn fail_update(&mut self, fault: UpdateFault) {
        self.store.inject_update_faults([Some(fault)]);
    }

    /// Everything works again.
    pub fn mend(&mut self) {
        self.store.set_down(false);
        self.lag = Duration::ZERO;
        self.order_lag = Duration::ZERO;
        self.cut.clear();
        self.store_cut.clear();
        for node in 0..NODES {
            self.wake(node);
            if self.nodes[node].finished {
                self.restart(node);
            }
        }
        for index in 0..HOSTS {
            self.wake_engine(index);
            self.list_host(index, Presence::Live);
        }
    }

    /// Every group is whole, and its engines know their places.
    pub fn check_whole(&self) {
        let records = self.records();
        let groups: Vec<_> = records.iter().flat_map(|record| &record.groups).collect();
        assert_eq!(groups.len(), 3, "{groups:?}");
        for group in groups {
            for (rank, member) in group.members.iter().enumerate() {
                let report = self.engine(&member.host).report(self.now);
                let place = report.assignment.expect("every member has its order");
                assert_eq!((&place.group, place.epoch), (&group.group, group.epoch));
                assert_eq!(place.rank, rank);
                assert_eq!(report.incarnation, member.incarnation);
            }
        }
    }

    /// Every controller has ended and none has kept a lease.
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
    let run = process * 10 + node as u64;
    let state = ControllerState::new(name, domain, times, settings, run, seed);
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
