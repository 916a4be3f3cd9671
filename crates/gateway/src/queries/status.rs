//! How a gateway is, for its operators.

use std::collections::BTreeMap;

use base::prelude::*;
use document::ConfigState;
use groups::{GroupReadiness, check_group};
use limits::queries::QueueDepth;

use super::answer::is_ready;
use super::hosts::recorded_groups;
use crate::GatewayState;

/// How a gateway is.
#[derive(Clone, Debug)]
pub struct GatewayStatus {
    /// Its node.
    pub node: NodeName,
    /// Its failure domain.
    pub domain: DomainName,
    /// Whether the balancer may send callers here.
    pub ready: bool,
    /// Configuration in force and what is held back of it.
    pub config: ConfigState,
    /// Calls that have not ended.
    pub calls: usize,
    /// Calls that wait, by service and workspace.
    pub queues: Vec<QueueDepth>,
    /// Groups as this gateway sees them.
    pub groups: BTreeMap<GroupName, GroupStatus>,
}

/// How a gateway sees a group.
#[derive(Clone, Debug)]
pub struct GroupStatus {
    /// Deployment of the group.
    pub deployment: DeploymentName,
    /// Generation of its membership.
    pub epoch: GroupEpoch,
    /// Whether it serves, or why not.
    pub verdict: GroupReadiness,
}

pub(super) fn describe(state: &GatewayState, now: ClockTime) -> GatewayStatus {
    let groups = recorded_groups(state).map(|group| {
        let status = GroupStatus {
            deployment: group.deployment.clone(),
            epoch: group.epoch,
            verdict: check_group(group, &state.reports, now),
        };
        (group.group.clone(), status)
    });
    GatewayStatus {
        node: state.node.clone(),
        domain: state.domain.clone(),
        ready: is_ready(state),
        config: state.watch.config.clone(),
        calls: state.calls.len(),
        queues: limits::queries::queue_depths(&state.admission),
        groups: groups.collect(),
    }
}
