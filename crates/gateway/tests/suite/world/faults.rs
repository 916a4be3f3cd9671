//! What happens to the engines, the servers, the store and the gateways.

use gateway::GatewayEvent;
use groups::MemberPhase;
use interface::Presence;
use store::{ReadFault, UpdateFault};

use super::World;
use crate::fleet::{ENGINES, SERVERS, report_of};

impl World {
    pub fn kill_engine(&mut self, index: usize) {
        self.alive[index] = false;
        self.break_group();
    }

    /// A paused engine goes on as if nothing had happened.
    pub fn wake_engine(&mut self, index: usize) {
        self.alive[index] = true;
        self.mend_group();
    }

    /// An engine comes back as another run without a place.
    pub fn restart_engine(&mut self, index: usize) {
        self.alive[index] = true;
        let report = &mut self.fleet.reports[index];
        report.incarnation = report.incarnation.next();
        report.assignment = None;
        report.phase = MemberPhase::Idle;
        self.break_group();
    }

    pub fn leave_engine(&mut self, index: usize) {
        if self.fleet.reports[index].phase == MemberPhase::Ready {
            self.fleet.reports[index].phase = MemberPhase::Leaving;
            self.leaving_since.get_or_insert(self.now);
        }
    }

    /// The owner of the fabric domain puts every engine back into the group.
    pub fn repair_group(&mut self) {
        self.break_group();
        let epoch = self.fleet.record.groups[0].epoch.next();
        self.alive = [true; ENGINES.len()];
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

    fn break_group(&mut self) {
        let epoch = self.fleet.record.groups[0].epoch;
        self.broken_since.entry(epoch).or_insert(self.now);
    }

    fn mend_group(&mut self) {
        let group = &self.fleet.record.groups[0];
        let takes_place = |index: usize| {
            let report = &self.fleet.reports[index];
            self.alive[index]
                && report.incarnation == group.members[index].incarnation
                && report.assignment.is_some()
        };
        if (0..ENGINES.len()).all(takes_place) {
            self.broken_since.remove(&group.epoch);
        }
    }

    pub fn list_server(&mut self, index: usize, presence: Presence) {
        self.fleet.entry(SERVERS[index]).presence = presence;
    }

    pub fn pause(&mut self, node: usize) {
        self.nodes[node].paused = true;
    }

    /// A paused process hears everything that came meanwhile.
    pub fn wake(&mut self, node: usize) {
        self.nodes[node].paused = false;
    }

    /// A process ends without a word and another starts in its place.
    pub fn crash(&mut self, node: usize) {
        let process = self.nodes[node].process;
        for asked in &mut self.asked {
            if (asked.name.0, asked.name.1) == (node, process) {
                asked.ended = true;
            }
        }
        for attempt in &mut self.attempts {
            if (attempt.name.0, attempt.name.1) == (node, process) {
                attempt.orphan = true;
            }
        }
        self.nodes[node] = self.start(node, process + 1);
    }

    pub fn request_stop(&mut self, node: usize) {
        self.tell(node, GatewayEvent::StopRequested);
    }

    pub fn fail_store(&mut self, update: UpdateFault, read: ReadFault) {
        self.store.inject_update_faults([Some(update)]);
        self.store.inject_read_faults([Some(read)]);
    }
}
