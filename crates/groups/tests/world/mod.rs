//! Simulation of nodes, engines and a store with one clock.
#![allow(dead_code)]

mod check;
pub mod engine;

use std::collections::{BTreeMap, VecDeque};

use base::prelude::*;
use document::DeploymentSpec;
use engine::FakeEngine;
use futures_util::FutureExt;
use groups::{
    DesiredGroups, FabricEffect, FabricRecord, FabricState, FabricWire, GroupHealth,
    GroupReadiness, GroupSettings, HostEntry, HostOrder, HostReport, HostStatus, check_groups,
};
use store::{MemoryStore, ObjectChange, ObjectKey, ObjectStore, ReadOutcome, UpdateOutcome};

/// Time between two steps.
pub const STEP: Duration = Duration::from_millis(500);

pub struct Node {
    pub state: FabricState,
    /// Whether the node has no connection to the store.
    pub store_cut: bool,
    /// Whether the node has no connection to the engines.
    pub engines_cut: bool,
    /// Whether the node is paused; its effects and inputs are held back.
    pub paused: bool,
    /// Whether the node pauses at its next step, between its decisions and their execution.
    pub pauses_before_effects: bool,
    /// Time from the request of a report to its arrival.
    pub report_delay: Duration,
    pub effects: VecDeque<FabricEffect>,
    pub orders_sent: usize,
    arriving: VecDeque<(ClockTime, HostReport)>,
}

pub struct World {
    pub now: ClockTime,
    pub store: MemoryStore,
    pub nodes: Vec<Node>,
    pub engines: BTreeMap<HostName, FakeEngine>,
    pub entries: BTreeMap<HostName, HostEntry>,
    pub desired: DesiredGroups,
    /// Groups of further deployments.
    pub other_deployments: Vec<DesiredGroups>,
    /// Orders that were sent and have not arrived, with the instants of arrival.
    pub in_flight: Vec<(ClockTime, HostName, HostOrder)>,
    /// Time from sending an order to its arrival.
    pub order_delay: Duration,
    /// Actual state of every engine that is up, by step.
    history: VecDeque<(ClockTime, Vec<HostReport>)>,
    newest_token: FencingToken,
}

pub fn fabric() -> FabricName {
    FabricName::new("f1").unwrap()
}

pub fn host(index: usize) -> HostName {
    HostName::new(&format!("h{index:02}")).unwrap()
}

pub fn entry(index: usize) -> HostEntry {
    HostEntry {
        host: host(index),
        address: format!("127.0.0.1:{}", 9000 + index).parse().unwrap(),
        status: HostStatus::Live,
    }
}

pub fn desired(size: usize, groups: usize, checks_fencing: bool) -> DesiredGroups {
    DesiredGroups {
        deployment: DeploymentName::new("llm").unwrap(),
        spec: DeploymentSpec {
            model: ModelName::new("m1").unwrap(),
            group_size: size,
            group_count: groups,
            downtime_weight: 0.8,
            checks_fencing,
            stream_limit: 8,
        },
        groups,
    }
}

impl World {
    pub fn new(nodes: usize, hosts: usize, desired: DesiredGroups) -> Self {
        let checks = desired.spec.checks_fencing;
        let load_duration = Duration::from_secs(10);
        let mut world = Self {
            now: ClockTime::from_millis(1_000),
            store: MemoryStore::default(),
            nodes: Vec::new(),
            engines: (0..hosts)
                .map(|i| (host(i), FakeEngine::new(&host(i), checks, load_duration)))
                .collect(),
            entries: (0..hosts).map(|i| (host(i), entry(i))).collect(),
            desired,
            other_deployments: Vec::new(),
            in_flight: Vec::new(),
            order_delay: Duration::from_millis(10),
            history: VecDeque::new(),
            newest_token: FencingToken::default(),
        };
        for index in 0..nodes {
            world.add_node(index as u64 + 1);
        }
        world
    }

    pub fn add_node(&mut self, process: u64) {
        let name = NodeName::new(&format!("n{process}")).unwrap();
        let state = FabricState::new(fabric(), name, process, GroupSettings::default(), process);
        self.nodes.push(Node {
            state,
            store_cut: false,
            engines_cut: false,
            paused: false,
            pauses_before_effects: false,
            report_delay: Duration::ZERO,
            effects: VecDeque::new(),
            orders_sent: 0,
            arriving: VecDeque::new(),
        });
    }

    pub fn key() -> ObjectKey {
        ObjectKey::new("fabrics/f1")
    }

    /// Stored object; `None` if it does not exist or the store is down.
    pub fn stored(&self) -> Option<(FabricRecord, ObjectVersion)> {
        read(&self.store)?
    }

    /// Advances the time by a duration.
    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.step();
        }
    }

    /// Advances the time until the condition holds; panics after one minute.
    pub fn run_until(&mut self, condition: &str, holds: impl Fn(&Self) -> bool) {
        for _ in 0..120 {
            if holds(self) {
                return;
            }
            self.step();
        }
        panic!(
            "not reached within one minute: {condition}; record {:#?}",
            self.stored()
        );
    }

    pub fn step(&mut self) {
        self.now = self.now + STEP;
        self.deliver_orders();
        self.record_history();
        for index in 0..self.nodes.len() {
            self.deliver_input(index);
            self.tick(index);
        }
        self.check();
    }

    fn deliver_orders(&mut self) {
        let now = self.now;
        let (arrived, in_flight) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(|(at, _, _)| *at <= now);
        self.in_flight = in_flight;
        let arrived: Vec<(ClockTime, HostName, HostOrder)> = arrived;
        for (at, host, order) in arrived {
            if let Some(engine) = self.engines.get_mut(&host) {
                engine.receive(&order, at);
            }
        }
    }

    /// Passes the host list, the reports and the object to a node.
    pub fn deliver_input(&mut self, index: usize) {
        let now = self.now;
        let node = &mut self.nodes[index];
        if node.paused {
            return;
        }
        let desired_groups = self.other_deployments.iter().chain([&self.desired]);
        node.state.set_desired_groups(desired_groups.cloned());
        if !node.store_cut {
            node.state.observe_hosts(self.entries.values().cloned());
            if let Some(found) = read(&self.store) {
                node.state.observe_record(found, now);
            }
        }
        if !node.engines_cut {
            let up = self.engines.values().filter(|engine| engine.up);
            let reports = up.map(|engine| (now, engine.report(now)));
            node.arriving.extend(reports);
        }
        while let Some((polled_at, report)) = node.arriving.pop_front() {
            if now < polled_at + node.report_delay {
                node.arriving.push_front((polled_at, report));
                break;
            }
            node.state.observe_report(report, polled_at, now);
        }
    }

    /// Ticks a node and executes the effects.
    pub fn tick(&mut self, index: usize) {
        if self.nodes[index].paused {
            return;
        }
        let effects = self.nodes[index].state.tick(self.now);
        let node = &mut self.nodes[index];
        node.effects.extend(effects);
        if node.pauses_before_effects {
            node.pauses_before_effects = false;
            node.paused = true;
            return;
        }
        self.execute(index);
    }

    /// Resumes a paused node and executes its pending effects.
    pub fn resume(&mut self, index: usize) {
        if std::mem::take(&mut self.nodes[index].paused) {
            self.execute(index);
        }
    }

    /// Replaces a node by one whose process has just started.
    pub fn restart_node(&mut self, index: usize, process: u64) {
        self.add_node(process);
        let node = self.nodes.pop().unwrap();
        self.nodes[index] = node;
    }

    /// Executes the pending effects of a node.
    pub fn execute(&mut self, index: usize) {
        while let Some(effect) = self.nodes[index].effects.pop_front() {
            let more = self.execute_one(index, effect);
            self.nodes[index].effects.extend(more);
        }
    }

    pub fn execute_one(&mut self, index: usize, effect: FabricEffect) -> Vec<FabricEffect> {
        let now = self.now;
        match effect {
            FabricEffect::Read { .. } => {
                if !self.nodes[index].store_cut
                    && let Some(found) = read(&self.store)
                {
                    self.nodes[index].state.observe_record(found, now);
                }
                Vec::new()
            }
            FabricEffect::Write { record, expected } => {
                let nonce = record.nonce;
                let outcome = if self.nodes[index].store_cut {
                    UpdateOutcome::Unknown
                } else {
                    write(&self.store, record, expected)
                };
                let state = &mut self.nodes[index].state;
                state.complete_write(nonce, outcome, now)
            }
            FabricEffect::Order {
                host,
                order,
                not_after,
                ..
            } => {
                if now < not_after && !self.nodes[index].engines_cut {
                    self.nodes[index].orders_sent += 1;
                    self.in_flight.push((now + self.order_delay, host, order));
                }
                Vec::new()
            }
        }
    }

    /// Groups that serve according to a node.
    pub fn serving(&self, index: usize) -> Vec<GroupHealth> {
        let state = &self.nodes[index].state;
        check_groups([state.record()], state.reports(), self.now)
            .into_iter()
            .filter(|health| matches!(health.readiness, GroupReadiness::Serving { .. }))
            .collect()
    }

    /// Node that holds a valid lease.
    pub fn holder(&self) -> Option<usize> {
        (0..self.nodes.len()).find(|&i| self.nodes[i].state.holds_lease(self.now))
    }

    pub fn engine(&mut self, index: usize) -> &mut FakeEngine {
        self.engines.get_mut(&host(index)).unwrap()
    }

    pub fn members(&self) -> Vec<Vec<HostName>> {
        let Some((record, _)) = self.stored() else {
            return Vec::new();
        };
        let groups = record.groups.iter();
        groups
            .map(|group| group.members.iter().map(|m| m.host.clone()).collect())
            .collect()
    }
}

/// Stored object; the outer `None` means that the store is down.
pub fn read(store: &MemoryStore) -> Option<Option<(FabricRecord, ObjectVersion)>> {
    match store.read(&World::key()).now_or_never()? {
        ReadOutcome::Found(object) => {
            let wire: FabricWire = serde_json::from_str(&object.value).unwrap();
            Some(Some((wire.into(), object.version)))
        }
        ReadOutcome::Missing => Some(None),
        ReadOutcome::Unavailable => None,
    }
}

pub fn write(store: &MemoryStore, record: FabricRecord, expected: ObjectVersion) -> UpdateOutcome {
    let value = serde_json::to_string(&FabricWire::from(record)).unwrap();
    let change = ObjectChange {
        key: World::key(),
        expected,
        value: Arc::from(value),
    };
    store.update(change).now_or_never().unwrap()
}
