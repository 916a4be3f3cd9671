//! Simulated time, frames in transit and injected faults.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use base::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::meter::{NodeMeter, Stopwatch};
use super::store::FakeStore;
use crate::overlay::hash_text;
use crate::wire::{decode_frame, encode_frame};
use crate::{
    Item, ItemKey, NodeIncarnation, NodePhase, NodeRecord, PeerEffect, PeerFrame, PeerSettings,
    PeerState,
};

/// Time after which a watch ends although nothing has changed.
const WATCH_TIMEOUT: Duration = Duration::from_secs(30);
/// Time after which a call to an unreachable store fails.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Latencies of frames and of the store.
#[derive(Clone, Copy, Debug)]
pub struct NetworkLatency {
    /// Minimum one-way delay of frames within a region.
    pub region: Duration,
    /// Minimum one-way delay of frames between regions.
    pub cross_region: Duration,
    /// Response time of the store.
    pub store: Duration,
}

impl Default for NetworkLatency {
    fn default() -> Self {
        Self {
            region: Duration::from_micros(700),
            cross_region: Duration::from_millis(40),
            store: Duration::from_millis(4),
        }
    }
}

/// Faults that are injected at present.
#[derive(Clone, Debug, Default)]
pub struct NetworkFaults {
    /// Probability that a frame is lost, from 0 to 1.
    pub loss: f64,
    /// Failure domains whose nodes neither send nor receive, also to the store.
    pub isolated_domains: BTreeSet<DomainName>,
    /// Failure domains each of whose nodes reach only one another and the store.
    pub partitioned_domains: BTreeSet<DomainName>,
    /// Nodes that neither send nor receive, also to the store.
    pub isolated_nodes: BTreeSet<NodeName>,
    /// Whether no frames pass between regions.
    pub are_regions_partitioned: bool,
    /// Regions that can't reach the store.
    pub regions_without_store: BTreeSet<RegionName>,
    /// Whether no node can reach the store.
    pub is_store_down: bool,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum EventKind {
    Wake,
    Frame(Vec<u8>),
    /// The watch with this number ends.
    WatchEnd(u64),
    Items(Vec<ItemKey>),
    ItemsFailed,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueuedEvent {
    at: ClockTime,
    sequence: u64,
    node: usize,
    incarnation: u64,
    kind: EventKind,
}

#[derive(Clone, Copy)]
struct PendingWatch {
    number: u64,
    after: ObjectVersion,
}

struct FakeNode {
    record: NodeRecord,
    state: Option<PeerState>,
    incarnation: u64,
    wake_at: Option<ClockTime>,
    pending_watch: Option<PendingWatch>,
    delivered: BTreeMap<ItemKey, ObjectVersion>,
    meter: NodeMeter,
}

/// Simulated network of nodes.
pub struct FakeNetwork {
    /// Current simulated time.
    pub now: ClockTime,
    /// Injected faults; may be changed at any time.
    pub faults: NetworkFaults,
    /// Store that all nodes use.
    pub store: FakeStore,
    settings: PeerSettings,
    latency: NetworkLatency,
    nodes: Vec<FakeNode>,
    addresses: BTreeMap<SocketAddr, usize>,
    queue: BinaryHeap<Reverse<QueuedEvent>>,
    sequence: u64,
    random: StdRng,
    stopwatch: Option<Stopwatch>,
}

impl FakeNetwork {
    /// Creates a network without nodes.
    pub fn new(settings: PeerSettings, latency: NetworkLatency, seed: u64) -> Self {
        Self {
            now: ClockTime::from_millis(1_000_000),
            faults: NetworkFaults::default(),
            store: FakeStore::default(),
            settings,
            latency,
            nodes: Vec::new(),
            addresses: BTreeMap::new(),
            queue: BinaryHeap::new(),
            sequence: 0,
            random: StdRng::seed_from_u64(seed),
            stopwatch: None,
        }
    }

    /// Enables the measurement of processing time.
    pub fn set_stopwatch(&mut self, stopwatch: Stopwatch) {
        self.stopwatch = Some(stopwatch);
    }

    /// Adds nodes, spread evenly over regions and three failure domains each.
    pub fn add_nodes(&mut self, count: usize, region_count: usize) {
        for _ in 0..count {
            let index = self.nodes.len();
            let domain_index = index % (3 * region_count);
            let region_index = domain_index / 3;
            let record = NodeRecord {
                node: NodeName::new(&format!("node-{index:04}")).expect("a valid name"),
                region: RegionName::new(&format!("region-{region_index}")).expect("a valid name"),
                domain: DomainName::new(&format!("domain-{domain_index}")).expect("a valid name"),
                address: address_of(index),
                incarnation: NodeIncarnation(0),
                refutations: 0,
                phase: NodePhase::Alive,
            };
            self.addresses.insert(record.address, index);
            self.nodes.push(FakeNode {
                record,
                state: None,
                incarnation: 0,
                wake_at: None,
                pending_watch: None,
                delivered: BTreeMap::new(),
                meter: NodeMeter::default(),
            });
        }
    }

    /// Number of nodes, running or not.
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Whether there are no nodes.
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    /// Starts a node, or restarts it without state in a new incarnation.
    pub fn start(&mut self, index: usize) {
        let seeds = (0..3).map(|seed| address_of(seed * self.nodes.len() / 3));
        let seeds = seeds.collect();
        let seed = self.random.random();
        let now = self.now;
        let node = &mut self.nodes[index];
        node.incarnation += 1;
        node.record.incarnation = NodeIncarnation(node.incarnation);
        node.delivered.clear();
        node.pending_watch = None;
        node.wake_at = None;
        let mut state = PeerState::new(self.settings.clone(), node.record.clone(), seed);
        let effects = state.join(seeds, Vec::new(), now);
        node.state = Some(state);
        self.execute_effects(index, effects);
    }

    /// Stops a node without notice to its peers.
    pub fn stop(&mut self, index: usize) {
        self.nodes[index].state = None;
        self.nodes[index].incarnation += 1;
    }

    /// State of a node; `None` while it is stopped.
    pub fn state(&self, index: usize) -> Option<&PeerState> {
        self.nodes[index].state.as_ref()
    }

    /// States of all running nodes.
    pub fn states(&self) -> impl Iterator<Item = &PeerState> {
        self.nodes.iter().filter_map(|node| node.state.as_ref())
    }

    /// Hash of the cluster's name, which every frame contains.
    pub fn cluster(&self) -> u64 {
        hash_text(&self.settings.cluster)
    }

    /// Counters of a node since the last reset.
    pub fn meter(&self, index: usize) -> &NodeMeter {
        &self.nodes[index].meter
    }

    /// Resets the counters of all nodes to zero.
    pub fn reset_meters(&mut self) {
        for node in &mut self.nodes {
            node.meter = NodeMeter::default();
        }
    }

    /// Runs a command on a node and executes its effects; ignored while the node
    /// is stopped.
    pub fn command(
        &mut self,
        index: usize,
        action: impl FnOnce(&mut PeerState, ClockTime) -> Vec<PeerEffect>,
    ) {
        let now = self.now;
        if let Some(state) = self.nodes[index].state.as_mut() {
            let effects = action(state, now);
            self.execute_effects(index, effects);
        }
    }

    /// Delivers a frame to a node as if a peer had sent it.
    pub fn inject(&mut self, index: usize, frame: PeerFrame) {
        let bytes = encode_frame(frame);
        self.push(index, self.now, EventKind::Frame(bytes));
    }

    /// Writes an item to the store and ends the watches that wait for a change.
    pub fn write(&mut self, key: ItemKey, body: Option<Arc<str>>) -> ObjectVersion {
        let version = self.store.write(key, body);
        for index in 0..self.nodes.len() {
            let pending = self.nodes[index].pending_watch;
            if let Some(watch) = pending.filter(|watch| watch.after < version)
                && self.reaches_store(index)
            {
                let at = self.now + self.latency.store;
                self.push(index, at, EventKind::WatchEnd(watch.number));
            }
        }
        version
    }

    /// Advances the simulated time by a duration.
    pub fn run_for(&mut self, duration: Duration) {
        let end_at = self.now + duration;
        while self.step(end_at) {}
        self.now = end_at;
    }

    /// Advances the simulated time until a condition holds, at most by `limit`;
    /// returns whether it holds.
    pub fn run_until(&mut self, limit: Duration, holds: impl Fn(&Self) -> bool) -> bool {
        let end_at = self.now + limit;
        while !holds(self) {
            let next_check = self.now + Duration::from_millis(5);
            while self.step(next_check.min(end_at)) {}
            self.now = next_check.min(end_at);
            if self.now >= end_at {
                return holds(self);
            }
        }
        true
    }

    /// Whether every running node that isn't isolated has this version or a newer
    /// one in force.
    pub fn is_in_force(&self, key: &ItemKey, version: ObjectVersion) -> bool {
        let mut connected = (0..self.nodes.len()).filter(|&index| self.is_connected(index));
        connected.all(|index| {
            let state = self.state(index);
            state.is_none_or(|state| state.version(key) >= Some(version))
        })
    }

    fn step(&mut self, end_at: ClockTime) -> bool {
        let is_due = self
            .queue
            .peek()
            .is_some_and(|Reverse(event)| event.at <= end_at);
        if !is_due {
            return false;
        }
        let Some(Reverse(event)) = self.queue.pop() else {
            return false;
        };
        self.now = self.now.max(event.at);
        let node = &self.nodes[event.node];
        let is_frame = matches!(event.kind, EventKind::Frame(_));
        if node.state.is_some() && (is_frame || node.incarnation == event.incarnation) {
            self.process_event(event.node, event.kind);
        }
        true
    }

    fn process_event(&mut self, index: usize, kind: EventKind) {
        let now = self.now;
        let reaches_store = self.reaches_store(index);
        let before = self.stopwatch.map(|watch| watch());
        let node = &mut self.nodes[index];
        let Some(state) = node.state.as_mut() else {
            return;
        };
        let effects = match kind {
            EventKind::Wake if node.wake_at != Some(now) => return,
            EventKind::Wake => {
                node.wake_at = None;
                let effects = state.tick(now);
                let is_busy = state.next_deadline().is_some_and(|due| due <= now);
                node.meter.busy_wakeups += u64::from(is_busy);
                effects
            }
            EventKind::Frame(bytes) => match decode_frame(&bytes) {
                Ok(frame) => state.receive(frame, now),
                Err(_) => {
                    node.meter.refusals += 1;
                    Vec::new()
                }
            },
            EventKind::WatchEnd(number) => {
                let is_current = node
                    .pending_watch
                    .is_some_and(|watch| watch.number == number);
                if !is_current {
                    return;
                }
                node.pending_watch = None;
                if reaches_store {
                    state.apply_store_listing(self.store.listing(), now)
                } else {
                    state.record_listing_failure(now)
                }
            }
            EventKind::ItemsFailed => {
                state.record_read_failure();
                Vec::new()
            }
            EventKind::Items(keys) => {
                let items: Vec<Item> = keys
                    .iter()
                    .filter_map(|key| self.store.item(key).cloned())
                    .collect();
                items
                    .into_iter()
                    .flat_map(|item| state.apply_store_item(item, now))
                    .collect()
            }
        };
        self.execute_effects(index, effects);
        if let (Some(before), Some(watch)) = (before, self.stopwatch) {
            self.nodes[index].meter.processing_time += watch().saturating_sub(before);
        }
    }

    fn execute_effects(&mut self, index: usize, effects: Vec<PeerEffect>) {
        for effect in effects {
            self.execute_effect(index, effect);
        }
        let due = self.nodes[index]
            .state
            .as_ref()
            .and_then(PeerState::next_deadline);
        if let Some(at) = due.map(|at| at.max(self.now + Duration::from_millis(1))) {
            let is_sooner = self.nodes[index].wake_at.is_none_or(|wake_at| at < wake_at);
            if is_sooner {
                self.nodes[index].wake_at = Some(at);
                self.push(index, at, EventKind::Wake);
            }
        }
    }

    fn execute_effect(&mut self, index: usize, effect: PeerEffect) {
        match effect {
            PeerEffect::Send { to, frame } => self.transmit(index, to, frame),
            PeerEffect::Deliver(item) => {
                let node = &mut self.nodes[index];
                let previous = node.delivered.insert(item.key, item.version);
                if previous >= Some(item.version) {
                    node.meter.regressions += 1;
                }
            }
            PeerEffect::WatchListing { after } => self.watch(index, after),
            PeerEffect::ReadItems(keys) => {
                self.store.count_call(self.now);
                if self.reaches_store(index) {
                    self.push(index, self.now + self.latency.store, EventKind::Items(keys));
                } else {
                    self.push(index, self.now + CALL_TIMEOUT, EventKind::ItemsFailed);
                }
            }
            PeerEffect::Refused { .. } => self.nodes[index].meter.refusals += 1,
            PeerEffect::Close { .. } | PeerEffect::Ready | PeerEffect::StoreBehind(_) => {}
        }
    }

    fn watch(&mut self, index: usize, after: ObjectVersion) {
        self.store.count_call(self.now);
        let number = self.sequence;
        self.nodes[index].pending_watch = Some(PendingWatch { number, after });
        let wait = if !self.reaches_store(index) {
            CALL_TIMEOUT
        } else if self.store.version() > after || after == ObjectVersion(0) {
            self.latency.store
        } else {
            WATCH_TIMEOUT
        };
        self.push(index, self.now + wait, EventKind::WatchEnd(number));
    }

    fn transmit(&mut self, index: usize, to: SocketAddr, frame: PeerFrame) {
        let message = frame.message.clone();
        let bytes = encode_frame(frame);
        self.nodes[index].meter.count_frame(&message, bytes.len());
        let Some(&target) = self.addresses.get(&to) else {
            return;
        };
        let is_lost = self.faults.loss > 0.0 && self.random.random_bool(self.faults.loss);
        if is_lost || !self.reaches(index, target) {
            return;
        }
        let same_region = self.nodes[index].record.region == self.nodes[target].record.region;
        let delay = if same_region {
            self.latency.region
        } else {
            self.latency.cross_region
        };
        let fraction: f64 = self.random.random();
        let at = self.now + delay + delay.mul_f64(fraction / 2.0);
        self.push(target, at, EventKind::Frame(bytes));
    }

    fn is_connected(&self, index: usize) -> bool {
        let record = &self.nodes[index].record;
        !self.faults.isolated_domains.contains(&record.domain)
            && !self.faults.isolated_nodes.contains(&record.node)
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let same_region = self.nodes[from].record.region == self.nodes[to].record.region;
        let domains = [from, to].map(|index| &self.nodes[index].record.domain);
        let is_split = domains[0] != domains[1]
            && domains
                .iter()
                .any(|domain| self.faults.partitioned_domains.contains(*domain));
        self.is_connected(from)
            && self.is_connected(to)
            && !is_split
            && (same_region || !self.faults.are_regions_partitioned)
    }

    fn reaches_store(&self, index: usize) -> bool {
        let region = &self.nodes[index].record.region;
        !self.faults.is_store_down
            && self.is_connected(index)
            && !self.faults.regions_without_store.contains(region)
    }

    fn push(&mut self, node: usize, at: ClockTime, kind: EventKind) {
        self.sequence += 1;
        self.queue.push(Reverse(QueuedEvent {
            at,
            sequence: self.sequence,
            node,
            incarnation: self.nodes[node].incarnation,
            kind,
        }));
    }
}

fn address_of(index: usize) -> SocketAddr {
    let low = u8::try_from(index % 250).unwrap_or(0);
    let high = u8::try_from(index / 250).unwrap_or(0);
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 1, high, low + 1)), 7_400)
}
