//! Targets of a service, and the groups that may go on with their calls.

use std::collections::BTreeMap;

use base::prelude::*;
use document::{PlainSpec, ServiceKind};
use groups::{GroupFault, GroupReadiness, GroupRecord, MemberFault, check_group};
use routing::{TargetId, TargetSpec};

use super::hosts::recorded_groups;
use crate::{GatewayState, GroupGeneration};

/// Whether a group that isn't broken may go on with its calls in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum GroupCondition {
    /// All members serve; the group may be draining.
    Complete,
    /// Some members don't report, and the reports of the others match the record.
    Silent,
}

/// Conditions of the groups; one that isn't among them is broken, as a member has
/// reported a state other than that of the record.
pub(crate) fn group_conditions(
    state: &GatewayState,
    now: ClockTime,
) -> BTreeMap<GroupGeneration, GroupCondition> {
    let conditions = recorded_groups(state).filter_map(|group| {
        let generation = GroupGeneration {
            group: group.group.clone(),
            epoch: group.epoch,
        };
        Some((generation, group_condition(state, group, now)?))
    });
    conditions.collect()
}

fn group_condition(
    state: &GatewayState,
    group: &GroupRecord,
    now: ClockTime,
) -> Option<GroupCondition> {
    let GroupReadiness::NotServing(faults) = check_group(group, &state.reports, now) else {
        return Some(GroupCondition::Complete);
    };
    let is_silent = |fault: &GroupFault| {
        let silent = MemberFault::Silent;
        matches!(fault, GroupFault::Member { fault, .. } if *fault == silent)
    };
    if faults.iter().all(is_planned) {
        return Some(GroupCondition::Complete);
    }
    let may_go_on = |fault: &GroupFault| is_planned(fault) || is_silent(fault);
    faults
        .iter()
        .all(may_go_on)
        .then_some(GroupCondition::Silent)
}

/// Whether a fault is planned and leaves all members serving their calls.
fn is_planned(fault: &GroupFault) -> bool {
    match fault {
        GroupFault::Draining => true,
        GroupFault::Member { fault, .. } => *fault == MemberFault::Leaving,
        GroupFault::Empty => false,
    }
}

/// Targets that may be sent new calls of a service.
pub(crate) fn service_targets(
    state: &GatewayState,
    service: &ServiceName,
    kind: &ServiceKind,
    now: ClockTime,
) -> Vec<TargetSpec> {
    match kind {
        ServiceKind::Model(deployment) => group_targets(state, deployment, now),
        ServiceKind::Plain(spec) => host_targets(state, service, spec),
    }
}

fn group_targets(
    state: &GatewayState,
    deployment: &DeploymentName,
    now: ClockTime,
) -> Vec<TargetSpec> {
    let deployments = &state.watch.config.in_force.configuration.deployments;
    let Some(spec) = deployments.get(deployment) else {
        return Vec::new();
    };
    let serves = |group: &&GroupRecord| {
        let readiness = check_group(group, &state.reports, now);
        group.deployment == *deployment
            && matches!(readiness, GroupReadiness::Serving { .. })
            && !is_leaving(state, group)
    };
    recorded_groups(state)
        .filter(serves)
        .map(|group| TargetSpec {
            target: TargetId::Group(group.group.clone()),
            incarnation: group.epoch.0,
            slots: spec.stream_limit,
        })
        .collect()
}

/// Whether a member of a group is leaving. Such a group gets no new calls, even
/// before the owner of its fabric domain has drained it.
fn is_leaving(state: &GatewayState, group: &GroupRecord) -> bool {
    let mut members = group.members.iter();
    members.any(|member| state.watch.is_leaving(&member.host))
}

fn host_targets(state: &GatewayState, service: &ServiceName, spec: &PlainSpec) -> Vec<TargetSpec> {
    state
        .watch
        .hosts
        .values()
        .filter(|entry| entry.service.as_ref() == Some(service))
        .filter(|entry| !state.watch.is_leaving(&entry.host))
        .map(|entry| TargetSpec {
            target: TargetId::Host(entry.host.clone()),
            incarnation: 0,
            slots: spec.call_limit,
        })
        .collect()
}
