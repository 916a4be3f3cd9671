//! Groups that accept requests.

use std::net::SocketAddr;

use base::prelude::*;

use super::group_health::{GroupHealth, group_health};
use crate::{GroupEntry, GroupPhase, PlannerState};

/// Group that accepts requests.
#[derive(Clone, Debug, PartialEq)]
pub struct ServingGroup {
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Model that it runs.
    pub model: ModelName,
    /// Epoch of its member list.
    pub epoch: GroupEpoch,
    /// Endpoint that is its head.
    pub head: HostName,
    /// Head's start.
    pub incarnation: HostIncarnation,
    /// Head's address.
    pub address: SocketAddr,
    /// Head's failure domain.
    pub domain: DomainName,
    /// Ratio of its processing times to the usual ones: that of its slowest member.
    pub latency_factor: f64,
}

/// Latency factor of a group's slowest member, at least 1.0.
fn slowest_factor(state: &PlannerState, group: &GroupEntry) -> f64 {
    let views = group.members.iter();
    let factors = views.filter_map(|member| Some(state.endpoints.get(&member.id)?.latency_factor));
    factors.fold(1.0, f64::max)
}

/// Heads of groups that serve according to the record but have lost a member.
pub fn lost_heads(state: &PlannerState) -> Vec<HostName> {
    let groups = state.record.groups.iter();
    let serving = groups.filter(|group| group.phase == GroupPhase::Serving);
    let is_lost =
        |group: &&GroupEntry| group_health(&state.endpoints, group) == GroupHealth::MemberLost;
    let (lost, healthy): (Vec<_>, Vec<_>) = serving.partition(is_lost);
    if lost.len() > healthy.len() {
        return Vec::new();
    }
    lost.iter().map(|group| group.head().id.clone()).collect()
}

/// Groups that serve according to the record and whose members are all present.
pub fn serving_groups(state: &PlannerState) -> Vec<ServingGroup> {
    let groups = state.record.groups.iter();
    groups
        .filter(|group| group.phase == GroupPhase::Serving)
        .filter(|group| group_health(&state.endpoints, group) == GroupHealth::Healthy)
        .filter_map(|group| {
            let head = state.endpoints.get(&group.head().id)?;
            Some(ServingGroup {
                incarnation: head.endpoint.incarnation,
                service: group.service.clone(),
                model: group.model.clone(),
                epoch: group.epoch,
                head: group.head().id.clone(),
                address: head.endpoint.address,
                domain: head.endpoint.domain.clone(),
                latency_factor: slowest_factor(state, group),
            })
        })
        .collect()
}
