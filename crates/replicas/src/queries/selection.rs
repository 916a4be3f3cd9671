//! Selects the free endpoints that form the next group.

use std::cmp::Reverse;

use base::prelude::*;
use intent::{ModelProfile, Service};

use super::fabric_index::FabricIndex;
use crate::state::is_standby;
use crate::{EndpointView, GroupEntry, GroupPhase, GroupRecord, MemberRef, PlannerState};

/// Members selected for a new group.
#[derive(Clone, Debug)]
pub struct GroupSelection {
    service: ServiceName,
    model: ModelName,
    members: Vec<(MemberRef, std::net::SocketAddr)>,
    /// Name of the group that all members with a membership have in common.
    shared_name: Option<GroupName>,
}

impl GroupSelection {
    /// Group entry with this epoch; keeps the members' common group name if it is free in the draft.
    pub fn into_entry(self, epoch: GroupEpoch, draft: &GroupRecord) -> Option<GroupEntry> {
        let is_free = |name: &GroupName| draft.groups.iter().all(|group| group.name != *name);
        let new_name = || GroupName::new(&format!("g{epoch}")).ok();
        let name = self.shared_name.filter(is_free).or_else(new_name)?;
        let head_address = self.members.first()?.1;
        Some(GroupEntry {
            name,
            service: self.service,
            model: self.model,
            epoch,
            members: self.members.into_iter().map(|(member, _)| member).collect(),
            head_address,
            phase: GroupPhase::Forming,
        })
    }
}

/// Selects members for another group in a fabric domain; `None` if too few endpoints are free.
///
/// Endpoints of an evacuated failure domain are left out. With `allow_cold`, endpoints without
/// weights are eligible too.
pub fn select_group(
    state: &PlannerState,
    fabric_index: &FabricIndex,
    service: &Service,
    model: &ModelProfile,
    fabric: &FabricName,
    allow_cold: bool,
) -> Option<GroupSelection> {
    let free = fabric_index.free(state, fabric);
    let free = free.filter(|view| !state.is_evacuated(view));
    let free = free.filter(|view| {
        let staged = &view.endpoint.staged;
        staged.contains(&model.name) || (staged.is_empty() && allow_cold)
    });
    choose_members(state, service, model, free.collect())
}

/// Selects the endpoints that are ready soonest; the fastest one that is not cold becomes the
/// head, as only the head receives requests.
fn choose_members(
    state: &PlannerState,
    service: &Service,
    model: &ModelProfile,
    mut free: Vec<&EndpointView>,
) -> Option<GroupSelection> {
    if free.len() < model.group_size {
        return None;
    }
    let in_memory = |view: &EndpointView| view.resident_model.as_ref() == Some(&model.name);
    let on_host = |view: &EndpointView| view.endpoint.staged.contains(&model.name);
    free.sort_by_key(|view| {
        let latency_factor = (view.latency_factor * 10.0) as u64;
        (
            Reverse(in_memory(view)),
            Reverse(on_host(view)),
            latency_factor,
        )
    });
    free.truncate(model.group_size);
    let is_warm = |view: &&EndpointView| !state.cold.contains(&view.endpoint.id);
    if let Some(head) = free.iter().position(is_warm) {
        free[..=head].rotate_right(1);
    }
    let memberships = free
        .iter()
        .filter_map(|view| view.endpoint.membership.as_ref());
    let mut names = memberships
        .map(|membership| &membership.group)
        .filter(|name| !is_standby(name));
    let shared_name = names
        .next()
        .filter(|first| names.all(|name| name == *first))
        .cloned();
    let members = free.iter().map(|view| {
        let endpoint = &view.endpoint;
        let member = MemberRef {
            id: endpoint.id.clone(),
            incarnation: endpoint.incarnation,
        };
        (member, endpoint.address)
    });
    Some(GroupSelection {
        service: service.name.clone(),
        model: model.name.clone(),
        members: members.collect(),
        shared_name,
    })
}
