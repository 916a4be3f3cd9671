//! What a plan may look at.

use std::collections::BTreeMap;

use base::prelude::*;

use crate::queries::health::ReportTable;
use crate::state::GroupTimers;
use crate::{
    DesiredGroups, FabricState, GroupPhase, GroupRecord, GroupSettings, HostEntry, HostReport,
    HostStatus, MemberPhase, MemberRecord,
};

/// Facts at one instant.
pub(crate) struct PlanView<'a> {
    pub settings: &'a GroupSettings,
    pub hosts: &'a BTreeMap<HostName, HostEntry>,
    pub targets: &'a BTreeMap<DeploymentName, DesiredGroups>,
    pub timers: &'a GroupTimers,
    pub now: ClockTime,
    reports: &'a ReportTable,
    /// Reports asked for earlier are not trusted.
    trusted_from: ClockTime,
}

/// Presence of a member as far as the reports prove it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MemberPresence {
    /// Answers as the run that was put into the group.
    Present,
    /// Answers as another run.
    Restarted(HostIncarnation),
    /// Silent, but not for long.
    Silent,
    /// Silent for so long that its place may be given away.
    Missing,
}

impl FabricState {
    pub(crate) fn plan_view(&self, now: ClockTime) -> PlanView<'_> {
        let checks = self.targets.values().all(|t| t.spec.checks_fencing);
        let open_at = self.own.as_ref().map(|own| own.orders_open_at);
        PlanView {
            settings: &self.settings,
            hosts: &self.hosts,
            targets: &self.targets,
            timers: &self.timers,
            now,
            reports: &self.reports,
            trusted_from: open_at.filter(|_| !checks).unwrap_or_default(),
        }
    }

    /// Whether most members that should be up are silent to this node.
    ///
    /// Then the node itself may be cut off: it takes no lease and lets its own
    /// lapse, so that a node that hears the members can decide.
    pub(crate) fn is_blind(&self, now: ClockTime) -> bool {
        let view = self.plan_view(now);
        let members = self.record.groups.iter().flat_map(|group| &group.members);
        let expected: Vec<_> = members.filter(|m| view.is_live(&m.host)).collect();
        let heard = expected
            .iter()
            .filter(|member| {
                self.reports
                    .get(&member.host)
                    .is_some_and(|r| now < r.valid_until)
            })
            .count();
        heard * 2 < expected.len()
    }
}

impl PlanView<'_> {
    /// Valid and trusted report of a host.
    pub fn report(&self, host: &HostName) -> Option<&HostReport> {
        let timed = self.reports.get(host)?;
        let valid = self.now < timed.valid_until && self.trusted_from <= timed.polled_at;
        valid.then_some(&timed.report)
    }

    pub fn presence(&self, member: &MemberRecord) -> MemberPresence {
        match self.report(&member.host) {
            Some(report) if report.incarnation == member.incarnation => MemberPresence::Present,
            Some(report) => MemberPresence::Restarted(report.incarnation),
            None if self.is_due(self.timers.replace_at.get(&member.host)) => {
                MemberPresence::Missing
            }
            None => MemberPresence::Silent,
        }
    }

    pub fn is_due(&self, deadline: Option<&ClockTime>) -> bool {
        deadline.is_some_and(|&deadline| deadline <= self.now)
    }

    pub fn is_live(&self, host: &HostName) -> bool {
        self.has_standing(host, HostStatus::Live)
    }

    /// Whether the platform or the host itself says that it goes.
    pub fn is_leaving(&self, host: &HostName) -> bool {
        let report = self.report(host);
        self.has_standing(host, HostStatus::Leaving)
            || report.is_some_and(|report| report.phase == MemberPhase::Leaving)
    }

    fn has_standing(&self, host: &HostName, standing: HostStatus) -> bool {
        let entry = self.hosts.get(host);
        entry.is_some_and(|entry| entry.status == standing)
    }

    pub fn is_straggler(&self, host: &HostName) -> bool {
        self.is_due(self.timers.straggler_at.get(host))
    }

    /// Weight of group downtime for a deployment; zero if nobody wants it.
    pub fn weight(&self, deployment: &DeploymentName) -> f64 {
        let target = self.targets.get(deployment);
        target.map_or(0.0, |target| target.spec.downtime_weight)
    }

    /// Whether a member is lost, so that the group cannot finish any call.
    pub fn is_broken(&self, group: &GroupRecord) -> bool {
        let mut members = group.members.iter();
        members.any(|member| {
            matches!(
                self.presence(member),
                MemberPresence::Restarted(_) | MemberPresence::Missing
            )
        })
    }

    /// Whether a draining group has no calls left.
    pub fn is_drained(&self, group: &GroupRecord) -> bool {
        if group.phase != GroupPhase::Draining {
            return false;
        }
        if self.is_broken(group) {
            return true;
        }
        let idle = |member: &MemberRecord| {
            let report = self.report(&member.host);
            report.is_some_and(|report| report.load.running == 0 && report.load.waiting == 0)
        };
        self.is_due(self.timers.close_at.get(&group.group)) && group.members.iter().all(idle)
    }
}
