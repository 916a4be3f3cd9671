//! Nodes, engines and a store that share one clock.
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
    /// Cut off from the store.
    pub storeless: bool,
    /// Cut off from the engines.
    pub deaf: bool,
    /// Stopped; its effects and input wait.
    pub paused: bool,
    /// Stops at its next turn between deciding and acting.
    pub halts: bool,
    /// Time from asking a host to its answer's arrival.
    pub lag: Duration,
    pub effects: VecDeque<FabricEffect>,
    pub orders_sent: usize,
    answers: VecDeque<(ClockTime, HostReport)>,
}

pub struct World {
    pub now: ClockTime,
    pub store: MemoryStore,
    pub nodes: Vec<Node>,
    pub engines: BTreeMap<HostName, FakeEngine>,
    pub entries: BTreeMap<HostName, HostEntry>,
    pub target: DesiredGroups,
    /// Targets of further deployments.
    pub others: Vec<DesiredGroups>,
    /// Orders under way with the instants of their arrival.
    pub flying: Vec<(ClockTime, HostName, HostOrder)>,
    /// Time that an order is under way.
    pub delay: Duration,
    /// What every engine truly was, step by step.
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

pub fn target(size: usize, groups: usize, checks_fencing: bool) -> DesiredGroups {
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
    pub fn new(nodes: usize, hosts: usize, target: DesiredGroups) -> Self {
        let checks = target.spec.checks_fencing;
        let load_span = Duration::from_secs(10);
        let mut world = Self {
            now: ClockTime::from_millis(1_000),
            store: MemoryStore::default(),
            nodes: Vec::new(),
            engines: (0..hosts)
                .map(|i| (host(i), FakeEngine::new(&host(i), checks, load_span)))
                .collect(),
            entries: (0..hosts).map(|i| (host(i), entry(i))).collect(),
            target,
            others: Vec::new(),
            flying: Vec::new(),
            delay: Duration::from_millis(10),
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
            storeless: false,
            deaf: false,
            paused: false,
            halts: false,
            lag: Duration::ZERO,
            effects: VecDeque::new(),
            orders_sent: 0,
            answers: VecDeque::new(),
        });
    }

    pub fn key() -> ObjectKey {
        ObjectKey::new("fabrics/f1")
    }

    /// Object as it stands, read past every outage.
    pub fn stored(&self) -> Option<(FabricRecord, ObjectVersion)> {
        read(&self.store)?
    }

    /// Lets so much time pass.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
    }

    /// Lets time pass until the condition holds; fails after a minute.
    pub fn run_until(&mut self, what: &str, met: impl Fn(&Self) -> bool) {
        for _ in 0..120 {
            if met(self) {
                return;
            }
            self.step();
        }
        panic!("never happened: {what}; record {:#?}", self.stored());
    }

    pub fn step(&mut self) {
        self.now = self.now + STEP;
        self.land_orders();
        self.note_history();
        for index in 0..self.nodes.len() {
            self.feed(index);
            self.act(index);
        }
        self.check();
    }

    fn land_orders(&mut self) {
        let now = self.now;
        let (landed, flying) = std::mem::take(&mut self.flying)
            .into_iter()
            .partition(|(at, _, _)| *at <= now);
        self.flying = flying;
        let landed: Vec<(ClockTime, HostName, HostOrder)> = landed;
        for (at, host, order) in landed {
            if let Some(engine) = self.engines.get_mut(&host) {
                engine.receive(&order, at);
            }
        }
    }

    /// Hands a node the list, the reports and the object.
    pub fn feed(&mut self, index: usize) {
        let now = self.now;
        let node = &mut self.nodes[index];
        if node.paused {
            return;
        }
        let targets = self.others.iter().chain([&self.target]);
        node.state.set_deployments(targets.cloned());
        if !node.storeless {
            node.state.observe_hosts(self.entries.values().cloned());
            if let Some(found) = read(&self.store) {
                node.state.observe_record(found, now);
            }
        }
        if !node.deaf {
            let up = self.engines.values().filter(|engine| engine.up);
            let answers = up.map(|engine| (now, engine.report(now)));
            node.answers.extend(answers);
        }
        while let Some((polled_at, report)) = node.answers.pop_front() {
            if now < polled_at + node.lag {
                node.answers.push_front((polled_at, report));
                break;
            }
            node.state.observe_report(report, polled_at, now);
        }
    }

    /// Lets a node act and carries out what it wants.
    pub fn act(&mut self, index: usize) {
        if self.nodes[index].paused {
            return;
        }
        let effects = self.nodes[index].state.tick(self.now);
        let node = &mut self.nodes[index];
        node.effects.extend(effects);
        if node.halts {
            node.halts = false;
            node.paused = true;
            return;
        }
        self.carry(index);
    }

    /// Lets a paused node go on where it stopped.
    pub fn resume(&mut self, index: usize) {
        if std::mem::take(&mut self.nodes[index].paused) {
            self.carry(index);
        }
    }

    /// Starts a node's process afresh.
    pub fn restart_node(&mut self, index: usize, process: u64) {
        self.add_node(process);
        let node = self.nodes.pop().unwrap();
        self.nodes[index] = node;
    }

    /// Carries out the effects that wait at a node's border.
    pub fn carry(&mut self, index: usize) {
        while let Some(effect) = self.nodes[index].effects.pop_front() {
            let more = self.carry_one(index, effect);
            self.nodes[index].effects.extend(more);
        }
    }

    pub fn carry_one(&mut self, index: usize, effect: FabricEffect) -> Vec<FabricEffect> {
        let now = self.now;
        match effect {
            FabricEffect::Read { .. } => {
                if !self.nodes[index].storeless
                    && let Some(found) = read(&self.store)
                {
                    self.nodes[index].state.observe_record(found, now);
                }
                Vec::new()
            }
            FabricEffect::Write { record, expected } => {
                let nonce = record.nonce;
                let outcome = if self.nodes[index].storeless {
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
                if now < not_after && !self.nodes[index].deaf {
                    self.nodes[index].orders_sent += 1;
                    self.flying.push((now + self.delay, host, order));
                }
                Vec::new()
            }
        }
    }

    /// Groups that a node sees as serving.
    pub fn serving(&self, index: usize) -> Vec<GroupHealth> {
        let state = &self.nodes[index].state;
        check_groups([state.record()], state.reports(), self.now)
            .into_iter()
            .filter(|health| matches!(health.readiness, GroupReadiness::Serving { .. }))
            .collect()
    }

    /// Node whose lease has not run out.
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

/// Object as it stands; the outer `None` means that the store is down.
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
