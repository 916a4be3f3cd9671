//! Starting and stopping the waits of members, groups and stragglers.

use std::collections::BTreeMap;

use base::prelude::*;

use crate::queries::slow::slow_members;
use crate::{FabricState, GroupPhase};

impl FabricState {
    /// Brings every timer in line with the record and the reports.
    pub(crate) fn note_timers(&mut self, now: ClockTime) {
        self.note_missing(now);
        self.note_draining(now);
        self.note_slow(now);
        self.note_stragglers(now);
    }

    fn note_missing(&mut self, now: ClockTime) {
        let answers = |member: &crate::MemberRecord| {
            let timed = self.reports.get(&member.host);
            timed.is_some_and(|timed| {
                now < timed.valid_until && timed.report.incarnation == member.incarnation
            })
        };
        let members = self.record.groups.iter().flat_map(|group| &group.members);
        let missing: Vec<_> = members
            .filter(|member| !answers(member))
            .map(|member| member.host.clone())
            .collect();
        let deadline = now + self.settings.missing_timeout;
        restart(&mut self.timers.replace_at, missing, deadline);
    }

    fn note_draining(&mut self, now: ClockTime) {
        let groups = self.record.groups.iter();
        let draining: Vec<_> = groups
            .filter(|group| group.phase == GroupPhase::Draining)
            .map(|group| group.group.clone())
            .collect();
        let deadline = now + self.settings.drain_propagation;
        restart(&mut self.timers.close_at, draining, deadline);
    }

    fn note_slow(&mut self, now: ClockTime) {
        let slow = slow_members(&self.record, &self.reports, self.settings.slow_factor, now);
        let deadline = now + self.settings.straggler_delay;
        restart(&mut self.timers.straggler_at, slow, deadline);
    }

    fn note_stragglers(&mut self, now: ClockTime) {
        let stragglers = self.record.stragglers.iter();
        let hosts: Vec<_> = stragglers.map(|entry| entry.host.clone()).collect();
        let deadline = now + self.settings.straggler_cooldown;
        restart(&mut self.timers.forgive_at, hosts, deadline);
    }
}

/// Keeps the timers of these keys, starts those not running, drops all others.
fn restart<K: Ord>(timers: &mut BTreeMap<K, ClockTime>, keys: Vec<K>, deadline: ClockTime) {
    let mut running = std::mem::take(timers);
    for key in keys {
        let kept = running.remove(&key).unwrap_or(deadline);
        timers.insert(key, kept);
    }
}
