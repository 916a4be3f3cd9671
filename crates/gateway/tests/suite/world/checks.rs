//! Checks of the guarantees against the actual state of the endpoints.

use base::prelude::*;
use gateway::SendOrder;

use super::{CallRef, World};
use crate::harness::REPORT_VALIDITY;

impl World {
    /// Checks that a call isn't sent to a group that was incomplete or leaving for
    /// longer than a report is valid, or to a host that the node knows to be leaving.
    pub(super) fn check_endpoint(&self, id: CallRef, order: &SendOrder) {
        let Some(generation) = &order.generation else {
            let mut hosts = self.fleet.hosts.iter();
            let host = hosts.find(|entry| entry.address == order.address).unwrap();
            let known_leaving = &self.nodes[id.0].known_leaving;
            assert!(
                !known_leaving.contains(&host.host),
                "{id:?} was sent to {host:?}"
            );
            return;
        };
        let incomplete = self.incomplete_since.get(&generation.epoch).copied();
        for since in incomplete.into_iter().chain(self.leaving_since) {
            let duration = self.now.since(since);
            assert!(
                duration <= REPORT_VALIDITY,
                "{id:?} was sent to a group incomplete for {duration:?}"
            );
        }
    }

    /// Checks that nothing of a response is forwarded that comes from a group which was
    /// incomplete for longer than a report is valid.
    pub(super) fn check_forwarding(&self, at: usize) {
        let attempt = &self.attempts[at];
        let id = attempt.id;
        assert!(
            !attempt.is_suspended,
            "{id:?} was forwarded while suspended"
        );
        let Some(generation) = &attempt.order.generation else {
            return;
        };
        let since = self.incomplete_since.get(&generation.epoch);
        let duration = since.map_or(Duration::ZERO, |&since| self.now.since(since));
        assert!(
            duration <= REPORT_VALIDITY || self.nodes[id.0].paused,
            "{id:?} was forwarded from a group incomplete for {duration:?}"
        );
    }

    pub(super) fn check_not_run(&self, id: CallRef) {
        let ran = self.runs.iter().any(|(run, _)| *run == id);
        assert!(!ran, "{id:?} was refused as not run but ran");
        let may_run = self
            .attempts
            .iter()
            .any(|attempt| attempt.id == id && attempt.run.is_none());
        assert!(!may_run, "{id:?} was refused as not run but may still run");
    }

    /// Checks that every call whose caller stayed connected has ended.
    pub fn check_all_ended(&self) {
        for call in &self.caller_calls {
            let has_ended = call.ended || call.is_disconnected;
            assert!(has_ended, "{:?} has not ended", call.id);
        }
    }
}
