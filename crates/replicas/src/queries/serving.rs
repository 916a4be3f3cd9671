//! Groups that take requests.

use std::net::SocketAddr;

use base::prelude::*;

use super::verdict::{Verdict, verdict};
use crate::{GroupEntry, GroupPhase, PlannerState};

/// Group that takes requests.
#[derive(Clone, Debug, PartialEq)]
pub struct ServingGroup {
    /// Service.
    pub service: ServiceName,
    /// Model.
    pub model: ModelName,
    /// Generation.
    pub epoch: GroupEpoch,
    /// Head.
    pub head: HostName,
    /// Head's address.
    pub address: SocketAddr,
    /// Head's failure domain.
    pub zone: DomainName,
    /// Factor by which its work takes longer than usual: that of its slowest member.
    pub latency_factor: f64,
}

/// Pace of a group's slowest member.
fn slowest(state: &PlannerState, group: &GroupEntry) -> f64 {
    let views = group.members.iter();
    let paces = views.filter_map(|member| Some(state.endpoints.get(&member.id)?.latency_factor));
    paces.fold(1.0, f64::max)
}

/// Groups that the record says serve and no member speaks against.
pub fn serving_groups(state: &PlannerState) -> Vec<ServingGroup> {
    let groups = state.record.groups.iter();
    groups
        .filter(|group| group.phase == GroupPhase::Serving)
        .filter(|group| verdict(&state.endpoints, group) == Verdict::Whole)
        .filter_map(|group| {
            let head = state.endpoints.get(&group.head().id)?;
            Some(ServingGroup {
                service: group.service.clone(),
                model: group.model.clone(),
                epoch: group.epoch,
                head: group.head().id.clone(),
                address: head.endpoint.address,
                zone: head.endpoint.zone.clone(),
                latency_factor: slowest(state, group),
            })
        })
        .collect()
}
