//! Timers of missing members, draining groups, slow members and stragglers.

use std::collections::BTreeMap;

use base::prelude::*;

use crate::queries::slow::slow_members;
use crate::{FabricState, GroupPhase};

impl FabricState {
    /// Starts and stops the timers according to the record and the reports.
    pub(crate) fn update_timers(&mut self, now: ClockTime) {
        self.update_missing(now);
        self.update_draining(now);
        self.update_slow(now);
        self.update_stragglers(now);
    }

    fn update_missing(&mut self, now: ClockTime) {
        let is_present = |member: &crate::MemberRecord| {
            let timed = self.reports.get(&member.host);
            timed.is_some_and(|timed| {
                now < timed.valid_until && timed.report.incarnation == member.incarnation
            })
        };
        let members = self.record.groups.iter().flat_map(|group| &group.members);
        let missing: Vec<_> = members
            .filter(|member| !is_present(member))
            .map(|member| member.host.clone())
            .collect();
        let deadline = now + self.settings.missing_timeout;
        sync_timers(&mut self.timers.replace_at, missing, deadline);
    }

    fn update_draining(&mut self, now: ClockTime) {
        let groups = self.record.groups.iter();
        let draining: Vec<_> = groups
            .filter(|group| group.phase == GroupPhase::Draining)
            .map(|group| group.group.clone())
            .collect();
        let deadline = now + self.settings.drain_propagation;
        sync_timers(&mut self.timers.close_at, draining, deadline);
    }

    fn update_slow(&mut self, now: ClockTime) {
        let slow = slow_members(&self.record, &self.reports, self.settings.slow_factor, now);
        let deadline = now + self.settings.straggler_delay;
        sync_timers(&mut self.timers.straggler_at, slow, deadline);
    }

    fn update_stragglers(&mut self, now: ClockTime) {
        let stragglers = self.record.stragglers.iter();
        let hosts: Vec<_> = stragglers.map(|entry| entry.host.clone()).collect();
        let deadline = now + self.settings.straggler_cooldown;
        sync_timers(&mut self.timers.straggler_expires_at, hosts, deadline);
    }
}

/// Keeps the running timers of these keys, starts the others, removes all further ones.
fn sync_timers<K: Ord>(timers: &mut BTreeMap<K, ClockTime>, keys: Vec<K>, deadline: ClockTime) {
    let mut running = std::mem::take(timers);
    for key in keys {
        let kept = running.remove(&key).unwrap_or(deadline);
        timers.insert(key, kept);
    }
}
