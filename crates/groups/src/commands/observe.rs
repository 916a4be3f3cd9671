//! Updates from outside: the stored object, the host list and host reports.

use base::prelude::*;

use crate::{DesiredGroups, FabricRecord, FabricState, HostEntry, HostReport, TimedReport};

/// Result of observing a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordOutcome {
    /// The record is newer and replaced the known one.
    Updated,
    /// The record has the known version.
    Unchanged,
    /// The record is older than the known one and was ignored.
    Stale,
}

impl FabricState {
    /// Records the object as read or watched; `None` if it does not exist.
    pub fn observe_record(
        &mut self,
        read: Option<(FabricRecord, ObjectVersion)>,
        now: ClockTime,
    ) -> RecordOutcome {
        let fabric = self.record.fabric.clone();
        let (record, version) =
            read.unwrap_or_else(|| (FabricRecord::new(fabric), ObjectVersion::default()));
        let current = self.version;
        if current.is_some_and(|current| version < current) {
            return RecordOutcome::Stale;
        }
        self.changed |= self.read_at.is_some();
        self.read_at = None;
        if current == Some(version) {
            return RecordOutcome::Unchanged;
        }
        self.changed = true;
        self.apply_record(record, version, now);
        RecordOutcome::Updated
    }

    /// Replaces the platform's list of this fabric domain's hosts.
    pub fn observe_hosts(&mut self, entries: impl IntoIterator<Item = HostEntry>) {
        let entries = entries.into_iter();
        let hosts = entries.map(|entry| (entry.host.clone(), entry)).collect();
        self.changed |= self.hosts != hosts;
        self.hosts = hosts;
    }

    /// Records a host's report that was requested at `polled_at`.
    ///
    /// A report that was requested earlier than the last one is ignored.
    pub fn observe_report(&mut self, report: HostReport, polled_at: ClockTime, now: ClockTime) {
        let last = self.reports.get(&report.host);
        if last.is_some_and(|last| polled_at < last.polled_at) {
            return;
        }
        let stays_idle = last.is_some_and(|last| {
            now < last.valid_until
                && last.report.incarnation == report.incarnation
                && last.report.assignment.is_none()
        });
        let unchanged = last
            .is_some_and(|last| now < last.valid_until && equals_but_load(&last.report, &report));
        self.changed |= !unchanged;
        self.update_availability(&report, stays_idle, now);
        let timed = TimedReport {
            polled_at,
            valid_until: polled_at + self.settings.report_validity,
            report,
        };
        self.reports.insert(timed.report.host.clone(), timed);
    }

    /// Sets the groups that this fabric domain is to have.
    pub fn set_desired_groups(&mut self, desired_groups: impl IntoIterator<Item = DesiredGroups>) {
        let desired_groups = desired_groups.into_iter();
        let desired_groups = desired_groups
            .map(|desired| (desired.deployment.clone(), desired))
            .collect();
        self.changed |= self.desired_groups != desired_groups;
        self.desired_groups = desired_groups;
    }

    /// Updates the instant at which an idle host may join a group.
    ///
    /// A host that became idle is available once no earlier report of it can be
    /// valid anywhere and no earlier order to it can still arrive.
    fn update_availability(&mut self, report: &HostReport, stays_idle: bool, now: ClockTime) {
        let available_at = &mut self.timers.available_at;
        if report.assignment.is_some() {
            available_at.remove(&report.host);
        } else if !stays_idle || !available_at.contains_key(&report.host) {
            let wait = self.settings.report_validity.max(self.settings.order_limit);
            available_at.insert(report.host.clone(), now + wait);
        }
    }
}

/// Whether two reports differ at most in their running and waiting calls.
fn equals_but_load(last: &HostReport, report: &HostReport) -> bool {
    let mut last = last.clone();
    last.load.running = report.load.running;
    last.load.waiting = report.load.waiting;
    last == *report
}
