//! Inputs of a plan.

use std::collections::BTreeMap;

use base::prelude::*;

use crate::queries::health::ReportTable;
use crate::state::GroupTimers;
use crate::{
    DesiredGroups, FabricState, GroupPhase, GroupRecord, GroupSettings, HostEntry, HostReport,
    HostStatus, MemberPhase, MemberRecord,
};

/// Inputs of a plan at one instant.
pub(crate) struct PlanView<'a> {
    pub settings: &'a GroupSettings,
    pub hosts: &'a BTreeMap<HostName, HostEntry>,
    pub desired_groups: &'a BTreeMap<DeploymentName, DesiredGroups>,
    pub timers: &'a GroupTimers,
    pub now: ClockTime,
    reports: &'a ReportTable,
    /// Reports that were requested earlier are ignored.
    trusted_from: ClockTime,
}

/// Presence of a member according to the reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MemberPresence {
    /// Reports the recorded incarnation.
    Present,
    /// Reports another incarnation.
    Restarted(HostIncarnation),
    /// No valid report, for less than the time after which it may be replaced.
    Silent,
    /// No valid report for so long that it may be replaced.
    Missing,
}

impl FabricState {
    pub(crate) fn plan_view(&self, now: ClockTime) -> PlanView<'_> {
        let all_check_fencing = self
            .desired_groups
            .values()
            .all(|desired| desired.spec.checks_fencing);
        let allowed_at = self.held.as_ref().map(|held| held.orders_allowed_at);
        PlanView {
            settings: &self.settings,
            hosts: &self.hosts,
            desired_groups: &self.desired_groups,
            timers: &self.timers,
            now,
            reports: &self.reports,
            trusted_from: allowed_at
                .filter(|_| !all_check_fencing)
                .unwrap_or_default(),
        }
    }

    /// Whether this node lacks valid reports of more than half of the live members.
    ///
    /// In that case the node itself may be partitioned. It acquires no lease and
    /// lets the one it holds expire, so that a node that reaches the members can
    /// take over.
    pub(crate) fn is_isolated(&self, now: ClockTime) -> bool {
        let view = self.plan_view(now);
        let members = self.record.groups.iter().flat_map(|group| &group.members);
        let expected: Vec<_> = members.filter(|m| view.is_live(&m.host)).collect();
        let reporting = expected
            .iter()
            .filter(|member| {
                self.reports
                    .get(&member.host)
                    .is_some_and(|r| now < r.valid_until)
            })
            .count();
        reporting * 2 < expected.len()
    }
}

impl PlanView<'_> {
    /// Report of a host, if it is valid and was requested late enough.
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
        self.has_status(host, HostStatus::Live)
    }

    /// Whether the platform or the host itself reports that the host is leaving.
    pub fn is_leaving(&self, host: &HostName) -> bool {
        let report = self.report(host);
        self.has_status(host, HostStatus::Leaving)
            || report.is_some_and(|report| report.phase == MemberPhase::Leaving)
    }

    fn has_status(&self, host: &HostName, status: HostStatus) -> bool {
        let entry = self.hosts.get(host);
        entry.is_some_and(|entry| entry.status == status)
    }

    pub fn is_straggler(&self, host: &HostName) -> bool {
        self.is_due(self.timers.straggler_at.get(host))
    }

    /// Downtime weight of a deployment; zero if it is not configured here.
    pub fn weight(&self, deployment: &DeploymentName) -> f64 {
        let desired = self.desired_groups.get(deployment);
        desired.map_or(0.0, |desired| desired.spec.downtime_weight)
    }

    /// Whether a member is missing or restarted, so that the group cannot complete calls.
    pub fn is_broken(&self, group: &GroupRecord) -> bool {
        let mut members = group.members.iter();
        members.any(|member| {
            matches!(
                self.presence(member),
                MemberPresence::Restarted(_) | MemberPresence::Missing
            )
        })
    }

    /// Whether a draining group has no calls left or cannot complete them.
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
