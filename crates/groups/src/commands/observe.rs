//! Taking in what others say: the object, the list of hosts and reports.

use base::prelude::*;

use crate::{DesiredGroups, FabricRecord, FabricState, HostEntry, HostReport, TimedReport};

/// What became of an observed record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordOutcome {
    /// It is newer and was taken.
    Taken,
    /// It is the one already known.
    Same,
    /// It is older than the one known and was refused.
    Stale,
}

impl FabricState {
    /// Takes in the object as read or watched; `None` where it does not exist.
    pub fn observe_record(
        &mut self,
        read: Option<(FabricRecord, ObjectVersion)>,
        now: ClockTime,
    ) -> RecordOutcome {
        let fabric = self.record.fabric.clone();
        let (record, version) =
            read.unwrap_or_else(|| (FabricRecord::new(fabric), ObjectVersion::default()));
        let known = self.version;
        if known.is_some_and(|known| version < known) {
            return RecordOutcome::Stale;
        }
        self.changed |= self.read_at.is_some();
        self.read_at = None;
        if known == Some(version) {
            return RecordOutcome::Same;
        }
        self.changed = true;
        self.adopt(record, version, now);
        RecordOutcome::Taken
    }

    /// Takes in the platform's list of this fabric domain's hosts.
    pub fn observe_hosts(&mut self, entries: impl IntoIterator<Item = HostEntry>) {
        let entries = entries.into_iter();
        let hosts = entries.map(|entry| (entry.host.clone(), entry)).collect();
        self.changed |= self.hosts != hosts;
        self.hosts = hosts;
    }

    /// Takes in a host's answer to a question asked at `polled_at`.
    pub fn observe_report(&mut self, report: HostReport, polled_at: ClockTime, now: ClockTime) {
        let known = self.reports.get(&report.host);
        if known.is_some_and(|known| polled_at < known.polled_at) {
            return;
        }
        let stays_idle = known.is_some_and(|known| {
            now < known.valid_until
                && known.report.incarnation == report.incarnation
                && known.report.assignment.is_none()
        });
        let repeats =
            known.is_some_and(|known| now < known.valid_until && repeats(&known.report, &report));
        self.changed |= !repeats;
        self.note_idle(&report, stays_idle, now);
        let timed = TimedReport {
            polled_at,
            valid_until: polled_at + self.settings.report_validity,
            report,
        };
        self.reports.insert(timed.report.host.clone(), timed);
    }

    /// Sets the groups that this fabric domain shall form.
    pub fn set_deployments(&mut self, targets: impl IntoIterator<Item = DesiredGroups>) {
        let targets = targets.into_iter();
        let targets = targets
            .map(|target| (target.deployment.clone(), target))
            .collect();
        self.changed |= self.targets != targets;
        self.targets = targets;
    }

    /// An idle host is free only once no older answer of it can still be valid
    /// and no older order to it can still be under way.
    fn note_idle(&mut self, report: &HostReport, stays_idle: bool, now: ClockTime) {
        let free_at = &mut self.timers.free_at;
        if report.assignment.is_some() {
            free_at.remove(&report.host);
        } else if !stays_idle || !free_at.contains_key(&report.host) {
            let wait = self.settings.report_validity.max(self.settings.order_limit);
            free_at.insert(report.host.clone(), now + wait);
        }
    }
}

/// Whether a report says what the last one said, but for the calls under way.
fn repeats(last: &HostReport, report: &HostReport) -> bool {
    let mut last = last.clone();
    last.load.running = report.load.running;
    last.load.waiting = report.load.waiting;
    last == *report
}
