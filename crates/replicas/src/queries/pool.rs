//! Which free endpoints form the next group.

use std::cmp::Reverse;

use base::prelude::*;
use intent::{ModelProfile, Service};

use super::survey::DomainSurvey;
use crate::state::is_park;
use crate::{EndpointView, GroupEntry, GroupPhase, GroupRecord, MemberRef, PlannerState};

/// Members for a new group.
#[derive(Clone, Debug)]
pub struct GroupPick {
    service: ServiceName,
    model: ModelName,
    members: Vec<(MemberRef, std::net::SocketAddr)>,
    /// Name that all members which are in a group already share.
    reused: Option<GroupName>,
}

impl GroupPick {
    /// Entry under an epoch.
    pub fn into_entry(self, epoch: GroupEpoch, draft: &GroupRecord) -> Option<GroupEntry> {
        let is_free = |name: &GroupName| draft.groups.iter().all(|group| group.name != *name);
        let fresh = || GroupName::new(&format!("g{epoch}")).ok();
        let name = self.reused.filter(is_free).or_else(fresh)?;
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

/// Picks members for one more group of a fabric domain, if it has enough that are free.
///
/// With `allow_cold`, endpoints without weights count too.
pub fn pick_group(
    state: &PlannerState,
    survey: &DomainSurvey,
    service: &Service,
    model: &ModelProfile,
    fabric: &FabricName,
    allow_cold: bool,
) -> Option<GroupPick> {
    let free = survey.free(state, fabric).filter(|view| {
        let staged = &view.endpoint.staged;
        staged.contains(&model.name) || (staged.is_empty() && allow_cold)
    });
    choose_members(service, model, free.collect())
}

/// Those that are ready soonest, the quickest as head.
fn choose_members(
    service: &Service,
    model: &ModelProfile,
    mut free: Vec<&EndpointView>,
) -> Option<GroupPick> {
    if free.len() < model.size {
        return None;
    }
    let in_memory = |view: &EndpointView| view.last_model.as_ref() == Some(&model.name);
    let on_host = |view: &EndpointView| view.endpoint.staged.contains(&model.name);
    free.sort_by_key(|view| {
        let pace = (view.latency_factor * 10.0) as u64;
        (Reverse(in_memory(view)), Reverse(on_host(view)), pace)
    });
    free.truncate(model.size);
    let held = free
        .iter()
        .filter_map(|view| view.endpoint.membership.as_ref());
    let mut names = held.map(|held| &held.group).filter(|name| !is_park(name));
    let reused = names
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
    Some(GroupPick {
        service: service.name.clone(),
        model: model.name.clone(),
        members: members.collect(),
        reused,
    })
}
