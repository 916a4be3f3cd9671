//! One fabric domain driven by the table: a node's state and its engines.

use std::collections::BTreeMap;

use base::prelude::*;
use groups::{
    DesiredGroups, FabricEffect, FabricRecord, FabricState, GroupOrder, GroupRecord, GroupSettings,
    HostAssignment, HostEntry, HostOrder, HostReport, HostStatus, LoadReport, MemberPhase,
    stranded_hosts,
};
use store::UpdateOutcome;

use super::faults::HostFault;

/// Time that an engine takes to load its weights.
const LOAD_TIME: Duration = Duration::from_secs(5 * 60);
/// Steps without any effect after which a fabric domain is left alone.
const QUIET_STEPS: u32 = 6;

/// Fabric domain under measurement.
pub struct FabricRun {
    /// Decision state of its owner.
    pub state: FabricState,
    /// Complete groups, by deployment.
    pub whole: BTreeMap<DeploymentName, usize>,
    /// Healthy hosts in no complete group.
    pub stranded: usize,
    hosts: Vec<EngineRun>,
    places: BTreeMap<HostName, usize>,
    stored: (FabricRecord, ObjectVersion),
    quiet: u32,
}

struct EngineRun {
    entry: HostEntry,
    incarnation: HostIncarnation,
    assignment: Option<HostAssignment>,
    model: Option<ModelName>,
    ready_at: ClockTime,
    downs: u32,
    leaves: u32,
    delists: u32,
}

impl FabricRun {
    /// Fabric domain with fresh hosts.
    pub fn new(fabric: FabricName, entries: Vec<HostEntry>, settings: GroupSettings) -> Self {
        let node = NodeName::new("n1").expect("the name is valid");
        let names = entries.iter().map(|entry| entry.host.clone());
        let places = names.zip(0..).collect();
        Self {
            state: FabricState::new(fabric.clone(), node, 1, settings, 1),
            whole: BTreeMap::new(),
            stranded: 0,
            hosts: entries.into_iter().map(EngineRun::new).collect(),
            places,
            stored: (FabricRecord::new(fabric), ObjectVersion(0)),
            quiet: 0,
        }
    }

    /// Whether something may still change without a new fault.
    pub fn is_active(&self) -> bool {
        self.quiet < QUIET_STEPS
    }

    /// Makes it run again.
    pub fn activate(&mut self) {
        self.quiet = 0;
    }

    /// Sets its groups.
    pub fn set_targets(&mut self, targets: Vec<DesiredGroups>) {
        self.state.set_deployments(targets);
    }

    /// Changes a host.
    pub fn strike(&mut self, host: usize, fault: HostFault) {
        self.hosts[host].strike(fault);
    }

    /// Feeds the node, lets it act and measures.
    pub fn step(&mut self, now: ClockTime) {
        let listed = self.hosts.iter().filter(|host| host.delists == 0);
        self.state.observe_hosts(listed.map(EngineRun::listing));
        for host in self.hosts.iter().filter(|host| host.downs == 0) {
            self.state.observe_report(host.report(now), now, now);
        }
        let mut effects = self.state.tick(now);
        let loading = self.hosts.iter().any(|host| host.is_loading(now));
        self.quiet = if loading { 0 } else { self.quiet + 1 };
        while let Some(effect) = effects.pop() {
            effects.extend(self.carry(effect, now));
        }
        self.measure(now);
    }

    fn carry(&mut self, effect: FabricEffect, now: ClockTime) -> Vec<FabricEffect> {
        match effect {
            FabricEffect::Read { .. } => {
                let (record, version) = self.stored.clone();
                let found = (version > ObjectVersion(0)).then_some((record, version));
                self.state.observe_record(found, now);
                self.state.tick(now)
            }
            FabricEffect::Write { record, .. } => {
                if record.groups != self.stored.0.groups {
                    self.quiet = 0;
                }
                let version = self.stored.1.next();
                let nonce = record.nonce;
                self.stored = (record, version);
                let applied = UpdateOutcome::Applied(version);
                self.state.complete_write(nonce, applied, now)
            }
            FabricEffect::Order { host, order, .. } => {
                self.quiet = 0;
                self.hosts[self.places[&host]].receive(order, now);
                Vec::new()
            }
        }
    }

    fn measure(&mut self, now: ClockTime) {
        let record = self.state.record();
        let mut whole = BTreeMap::new();
        for group in record.groups.iter().filter(|g| self.is_whole(g, now)) {
            *whole.entry(group.deployment.clone()).or_default() += 1;
        }
        let hosts = self.state.hosts();
        self.stranded = stranded_hosts(record, hosts, self.state.reports(), now).len();
        self.whole = whole;
    }

    /// Whether every engine truly is what the record says.
    fn is_whole(&self, group: &GroupRecord, now: ClockTime) -> bool {
        let active = group.phase == groups::GroupPhase::Active;
        let mut members = group.members.iter().enumerate();
        active
            && members.all(|(rank, member)| {
                let wanted = HostAssignment {
                    group: group.group.clone(),
                    epoch: group.epoch,
                    rank,
                };
                let host = &self.hosts[self.places[&member.host]];
                host.downs == 0
                    && host.incarnation == member.incarnation
                    && host.assignment.as_ref() == Some(&wanted)
                    && !host.is_loading(now)
            })
    }
}

impl EngineRun {
    fn new(entry: HostEntry) -> Self {
        Self {
            entry,
            incarnation: HostIncarnation(1),
            assignment: None,
            model: None,
            ready_at: ClockTime::default(),
            downs: 0,
            leaves: 0,
            delists: 0,
        }
    }

    fn strike(&mut self, fault: HostFault) {
        match fault {
            HostFault::Down => self.downs += 1,
            HostFault::Up => {
                self.downs -= 1;
                self.incarnation = self.incarnation.next();
                self.assignment = None;
                self.model = None;
                self.ready_at = ClockTime::default();
            }
            HostFault::Leave => self.leaves += 1,
            HostFault::Stay => self.leaves -= 1,
            HostFault::Delist => self.delists += 1,
            HostFault::List => self.delists -= 1,
        }
    }

    fn listing(&self) -> HostEntry {
        let standing = if self.leaves == 0 {
            HostStatus::Live
        } else {
            HostStatus::Leaving
        };
        HostEntry {
            status: standing,
            ..self.entry.clone()
        }
    }

    fn is_loading(&self, now: ClockTime) -> bool {
        now < self.ready_at
    }

    fn report(&self, now: ClockTime) -> HostReport {
        let phase = match &self.model {
            None => MemberPhase::Idle,
            Some(_) if self.is_loading(now) => MemberPhase::Loading,
            Some(_) => MemberPhase::Ready,
        };
        HostReport {
            host: self.entry.host.clone(),
            incarnation: self.incarnation,
            assignment: self.assignment.clone(),
            phase,
            model: self.model.clone(),
            load: LoadReport::default(),
        }
    }

    fn receive(&mut self, order: HostOrder, now: ClockTime) {
        match order {
            HostOrder::Idle { .. } => self.assignment = None,
            HostOrder::Standby { model, .. } => {
                self.assignment = None;
                self.load(model, now);
            }
            HostOrder::Join(order) => self.join(order, now),
        }
    }

    fn join(&mut self, order: GroupOrder, now: ClockTime) {
        self.assignment = Some(HostAssignment {
            group: order.group,
            epoch: order.epoch,
            rank: order.rank,
        });
        self.load(order.model, now);
    }

    fn load(&mut self, model: ModelName, now: ClockTime) {
        if self.model.as_ref() != Some(&model) {
            self.model = Some(model);
            self.ready_at = now + LOAD_TIME;
        }
    }
}
