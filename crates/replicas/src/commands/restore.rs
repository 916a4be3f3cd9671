//! Members of recorded groups that the platform's list lacks when this node starts.
//!
//! Entries of endpoints expire while the store is away, and are listed again within two
//! seconds of its return. A node that starts just then knows the groups only from the
//! record. It keeps them for that time; a node that has been running keeps the endpoints
//! that it knew anyway.

use base::prelude::*;

use super::list::earlier;
use crate::state::EndpointView;
use crate::{Endpoint, GroupEntry, GroupPhase, MemberPhase, Membership, PlannerState, Presence};

/// Share of the recorded members that the list must lack; fewer were rather lost one by one,
/// at most a whole fabric domain of several.
const MIN_MISSING_SHARE: f64 = 0.25;

/// Adds the missing members of serving groups for a grace period after the first list, if many
/// are missing; returns their number.
pub fn restore_recorded_members(
    state: &mut PlannerState,
    listed_at: ClockTime,
    now: ClockTime,
) -> usize {
    let expires_at = listed_at + state.settings.relist_grace_period;
    if now >= expires_at {
        return 0;
    }
    let record = state.record.clone();
    let groups = record.groups.iter();
    let serving = groups.filter(|group| group.phase == GroupPhase::Serving);
    let members = serving.flat_map(|group| (0..group.members.len()).map(move |rank| (group, rank)));
    let members: Vec<_> = members.collect();
    let is_missing = |(group, rank): &&(&GroupEntry, usize)| {
        !state.endpoints.contains_key(&group.members[*rank].id)
    };
    let missing: Vec<_> = members.iter().filter(is_missing).collect();
    if (missing.len() as f64) < members.len() as f64 * MIN_MISSING_SHARE || missing.is_empty() {
        return 0;
    }
    for (group, rank) in &missing {
        let endpoint = recorded_endpoint(group, *rank);
        let mut view = EndpointView::new(endpoint, now);
        view.expires_at = Some(expires_at);
        state
            .endpoints
            .insert(group.members[*rank].id.clone(), view);
    }
    state.expiry_due = earlier(state.expiry_due, expires_at);
    missing.len()
}

/// Endpoint as far as the record tells: without a fabric domain, so that it is not probed, and
/// with an address only if it is the head.
fn recorded_endpoint(group: &GroupEntry, rank: usize) -> Endpoint {
    let member = &group.members[rank];
    Endpoint {
        id: member.id.clone(),
        incarnation: member.incarnation,
        service: group.service.clone(),
        address: group.head_address,
        domain: DomainName::new("unlisted").expect("the name is valid"),
        fabric: None,
        presence: Presence::Ready,
        slots: 0,
        cold: None,
        sequence: 0,
        staged: vec![group.model.clone()],
        membership: Some(Membership {
            group: group.name.clone(),
            epoch: group.epoch,
            phase: if rank == 0 {
                MemberPhase::Open
            } else {
                MemberPhase::Ready
            },
        }),
    }
}
