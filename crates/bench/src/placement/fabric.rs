//! Simulation of one fabric domain: the state of its owner and its engines.

use std::collections::BTreeMap;

use base::prelude::*;
use groups::{
    DesiredGroups, FabricEffect, FabricRecord, FabricState, GroupOrder, GroupRecord, GroupSettings,
    HostAssignment, HostEntry, HostOrder, HostReport, HostStatus, LoadReport, MemberPhase,
    stranded_hosts,
};
use store::UpdateOutcome;

use super::faults::HostFault;

/// Time that an engine takes to load weights.
const LOAD_TIME: Duration = Duration::from_secs(5 * 60);
/// Steps without any change after which the steps of a fabric domain are skipped.
const MAX_IDLE_STEPS: u32 = 6;

/// Simulated fabric domain.
pub struct FabricRun {
    /// Decision state of the domain's owner.
    pub state: FabricState,
    /// Number of complete groups, by deployment.
    pub complete: BTreeMap<DeploymentName, usize>,
    /// Number of healthy hosts that are in no complete group.
    pub stranded: usize,
    hosts: Vec<EngineRun>,
    host_indexes: BTreeMap<HostName, usize>,
    stored: (FabricRecord, ObjectVersion),
    idle_steps: u32,
}

struct EngineRun {
    entry: HostEntry,
    incarnation: HostIncarnation,
    assignment: Option<HostAssignment>,
    model: Option<ModelName>,
    ready_at: ClockTime,
    down_count: u32,
    leave_count: u32,
    delist_count: u32,
}

impl FabricRun {
    /// Creates a fabric domain with idle hosts.
    pub fn new(fabric: FabricName, entries: Vec<HostEntry>, settings: GroupSettings) -> Self {
        let node = NodeName::new("n1").expect("the name is valid");
        let names = entries.iter().map(|entry| entry.host.clone());
        let host_indexes = names.zip(0..).collect();
        Self {
            state: FabricState::new(fabric.clone(), node, 1, settings, 1),
            complete: BTreeMap::new(),
            stranded: 0,
            hosts: entries.into_iter().map(EngineRun::new).collect(),
            host_indexes,
            stored: (FabricRecord::new(fabric), ObjectVersion(0)),
            idle_steps: 0,
        }
    }

    /// Whether something may still change without a new fault.
    pub fn is_active(&self) -> bool {
        self.idle_steps < MAX_IDLE_STEPS
    }

    /// Resumes the steps.
    pub fn activate(&mut self) {
        self.idle_steps = 0;
    }

    /// Sets the groups that the domain is to have.
    pub fn set_desired_groups(&mut self, desired_groups: Vec<DesiredGroups>) {
        self.state.set_desired_groups(desired_groups);
    }

    /// Applies a fault to a host.
    pub fn apply_fault(&mut self, host: usize, fault: HostFault) {
        self.hosts[host].apply_fault(fault);
    }

    /// Passes the host list and reports to the owner, executes its effects and measures.
    pub fn step(&mut self, now: ClockTime) {
        let listed = self.hosts.iter().filter(|host| host.delist_count == 0);
        self.state.observe_hosts(listed.map(EngineRun::list_entry));
        for host in self.hosts.iter().filter(|host| host.down_count == 0) {
            self.state.observe_report(host.report(now), now, now);
        }
        let mut effects = self.state.tick(now);
        let loading = self.hosts.iter().any(|host| host.is_loading(now));
        self.idle_steps = if loading { 0 } else { self.idle_steps + 1 };
        while let Some(effect) = effects.pop() {
            effects.extend(self.execute(effect, now));
        }
        self.measure(now);
    }

    fn execute(&mut self, effect: FabricEffect, now: ClockTime) -> Vec<FabricEffect> {
        match effect {
            FabricEffect::Read { .. } => {
                let (record, version) = self.stored.clone();
                let record = (version > ObjectVersion(0)).then_some((record, version));
                self.state.observe_record(record, now);
                self.state.tick(now)
            }
            FabricEffect::Write { record, .. } => {
                if record.groups != self.stored.0.groups {
                    self.idle_steps = 0;
                }
                let version = self.stored.1.next();
                let nonce = record.nonce;
                self.stored = (record, version);
                let applied = UpdateOutcome::Applied(version);
                self.state.complete_write(nonce, applied, now)
            }
            FabricEffect::Order { host, order, .. } => {
                self.idle_steps = 0;
                self.hosts[self.host_indexes[&host]].receive(order, now);
                Vec::new()
            }
        }
    }

    fn measure(&mut self, now: ClockTime) {
        let record = self.state.record();
        let mut complete = BTreeMap::new();
        for group in record.groups.iter().filter(|g| self.is_complete(g, now)) {
            *complete.entry(group.deployment.clone()).or_default() += 1;
        }
        let hosts = self.state.hosts();
        self.stranded = stranded_hosts(record, hosts, self.state.reports(), now).len();
        self.complete = complete;
    }

    /// Whether the state of every engine of a group agrees with the record.
    fn is_complete(&self, group: &GroupRecord, now: ClockTime) -> bool {
        let active = group.phase == groups::GroupPhase::Active;
        let mut members = group.members.iter().enumerate();
        active
            && members.all(|(rank, member)| {
                let expected = HostAssignment {
                    group: group.group.clone(),
                    epoch: group.epoch,
                    rank,
                };
                let host = &self.hosts[self.host_indexes[&member.host]];
                host.down_count == 0
                    && host.incarnation == member.incarnation
                    && host.assignment.as_ref() == Some(&expected)
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
            down_count: 0,
            leave_count: 0,
            delist_count: 0,
        }
    }

    fn apply_fault(&mut self, fault: HostFault) {
        match fault {
            HostFault::Down => self.down_count += 1,
            HostFault::Up => {
                self.down_count -= 1;
                self.incarnation = self.incarnation.next();
                self.assignment = None;
                self.model = None;
                self.ready_at = ClockTime::default();
            }
            HostFault::Leave => self.leave_count += 1,
            HostFault::Stay => self.leave_count -= 1,
            HostFault::Delist => self.delist_count += 1,
            HostFault::Relist => self.delist_count -= 1,
        }
    }

    fn list_entry(&self) -> HostEntry {
        let host_status = if self.leave_count == 0 {
            HostStatus::Live
        } else {
            HostStatus::Leaving
        };
        HostEntry {
            status: host_status,
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
