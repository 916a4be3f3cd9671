//! Status of a gateway for operators.

use std::collections::BTreeMap;

use base::prelude::*;
use document::ConfigState;
use groups::{GroupReadiness, check_group};
use limits::queries::QueueDepth;

use super::hosts::recorded_groups;
use super::reply::is_ready;
use crate::GatewayState;

/// Status of a gateway.
#[derive(Clone, Debug)]
pub struct GatewayStatus {
    /// Name of the node.
    pub node: NodeName,
    /// Failure domain of the node.
    pub domain: DomainName,
    /// Whether the load balancer may send connections here.
    pub ready: bool,
    /// Configuration in force and its rejected sections.
    pub config: ConfigState,
    /// Number of calls that have not ended.
    pub calls: usize,
    /// Running and waiting calls by service and workspace.
    pub queues: Vec<QueueDepth>,
    /// Status of each group as known to this gateway.
    pub groups: BTreeMap<GroupName, GroupStatus>,
}

/// Status of a group as known to a gateway.
#[derive(Clone, Debug)]
pub struct GroupStatus {
    /// Deployment of the group.
    pub deployment: DeploymentName,
    /// Generation of the membership.
    pub epoch: GroupEpoch,
    /// Whether the group serves, or the faults that prevent it.
    pub readiness: GroupReadiness,
}

pub(super) fn gateway_status(state: &GatewayState, now: ClockTime) -> GatewayStatus {
    let groups = recorded_groups(state).map(|group| {
        let status = GroupStatus {
            deployment: group.deployment.clone(),
            epoch: group.epoch,
            readiness: check_group(group, &state.reports, now),
        };
        (group.group.clone(), status)
    });
    GatewayStatus {
        node: state.node.clone(),
        domain: state.domain.clone(),
        ready: is_ready(state, now),
        config: state.watch.config.clone(),
        calls: state.calls.len(),
        queues: limits::queries::queue_depths(&state.admission),
        groups: groups.collect(),
    }
}
