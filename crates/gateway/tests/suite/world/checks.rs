//! The promises, held against what the endpoints know of themselves.

use gateway::SendOrder;

use super::{CallName, World};
use crate::harness::VALIDITY;

impl World {
    /// The endpoint must be whole and staying, as far as can be known.
    pub(super) fn check_endpoint(&self, name: CallName, order: &SendOrder) {
        let Some(place) = &order.place else {
            let mut hosts = self.fleet.hosts.iter();
            let host = hosts.find(|entry| entry.address == order.address).unwrap();
            let told = &self.nodes[name.0].told_leaving;
            assert!(!told.contains(&host.host), "{name:?} went to {host:?}");
            return;
        };
        let broken = self.broken_since.get(&place.epoch).copied();
        for since in broken.into_iter().chain(self.leaving_since) {
            let span = self.now.since(since);
            assert!(span <= VALIDITY, "{name:?} went to a group broken {span:?}");
        }
    }

    pub(super) fn check_not_run(&self, name: CallName) {
        let ran = self.runs.iter().any(|(run, _)| *run == name);
        assert!(!ran, "{name:?} was told 'not run' but ran");
        let may_run = self
            .attempts
            .iter()
            .any(|attempt| attempt.name == name && attempt.run.is_none());
        assert!(!may_run, "{name:?} was told 'not run' but may still run");
    }

    /// Every caller that stayed must have its end by now.
    pub fn check_all_ended(&self) {
        for asked in &self.asked {
            let known = asked.ended || asked.caller_gone;
            assert!(known, "{:?} has no end", asked.name);
        }
    }
}
