//! Faults of the engines, the servers, the store and the gateways.

use gateway::GatewayEvent;
use groups::MemberPhase;
use interface::Presence;
use store::{ReadFault, UpdateFault};

use super::World;
use crate::fleet::{ENGINES, SERVERS, report_of};

impl World {
    pub fn pause_engine(&mut self, index: usize) {
        self.responsive_engines[index] = false;
        self.mark_group_incomplete();
    }

    /// A paused engine continues in its previous state.
    pub fn resume_engine(&mut self, index: usize) {
        self.responsive_engines[index] = true;
        self.mark_group_complete();
    }

    /// An engine restarts as another incarnation without an assignment.
    pub fn restart_engine(&mut self, index: usize) {
        self.responsive_engines[index] = true;
        let report = &mut self.fleet.reports[index];
        report.incarnation = report.incarnation.next();
        report.assignment = None;
        report.phase = MemberPhase::Idle;
        self.mark_group_incomplete();
    }

    pub fn mark_engine_leaving(&mut self, index: usize) {
        if self.fleet.reports[index].phase == MemberPhase::Ready {
            self.fleet.reports[index].phase = MemberPhase::Leaving;
            self.leaving_since.get_or_insert(self.now);
        }
    }

    /// The owner of the fabric domain puts every engine back into the group, as a new
    /// generation.
    pub fn repair_group(&mut self) {
        self.mark_group_incomplete();
        let epoch = self.fleet.record.groups[0].epoch.next();
        self.responsive_engines = [true; ENGINES.len()];
        self.leaving_since = None;
        for index in 0..ENGINES.len() {
            let incarnation = self.fleet.reports[index].incarnation;
            let mut report = report_of(index);
            report.incarnation = incarnation;
            report.assignment.as_mut().unwrap().epoch = epoch;
            self.fleet.reports[index] = report;
            self.fleet.edit_group().members[index].incarnation = incarnation;
        }
        self.fleet.edit_group().epoch = epoch;
    }

    fn mark_group_incomplete(&mut self) {
        let epoch = self.fleet.record.groups[0].epoch;
        self.incomplete_since.entry(epoch).or_insert(self.now);
    }

    fn mark_group_complete(&mut self) {
        let group = &self.fleet.record.groups[0];
        let is_serving = |index: usize| {
            let report = &self.fleet.reports[index];
            self.responsive_engines[index]
                && report.incarnation == group.members[index].incarnation
                && report.assignment.is_some()
        };
        if (0..ENGINES.len()).all(is_serving) {
            self.incomplete_since.remove(&group.epoch);
        }
    }

    pub fn list_server(&mut self, index: usize, presence: Presence) {
        self.fleet.entry(SERVERS[index]).presence = presence;
    }

    pub fn pause(&mut self, node: usize) {
        self.nodes[node].paused = true;
    }

    /// A resumed process receives everything that arrived during its pause.
    pub fn resume(&mut self, node: usize) {
        self.nodes[node].paused = false;
    }

    /// A process ends without a shutdown and another one starts in its place.
    pub fn crash(&mut self, node: usize) {
        let process = self.nodes[node].process;
        for call in &mut self.caller_calls {
            if (call.id.0, call.id.1) == (node, process) {
                call.ended = true;
            }
        }
        for attempt in &mut self.attempts {
            if (attempt.id.0, attempt.id.1) == (node, process) {
                attempt.is_orphaned = true;
            }
        }
        self.nodes[node] = self.start(node, process + 1);
    }

    pub fn request_shutdown(&mut self, node: usize) {
        self.deliver(node, GatewayEvent::ShutdownRequested);
    }

    pub fn fail_store(&mut self, update: UpdateFault, read: ReadFault) {
        self.store.inject_update_faults([Some(update)]);
        self.store.inject_read_faults([Some(read)]);
    }
}
