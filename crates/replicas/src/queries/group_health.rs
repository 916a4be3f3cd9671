//! Health of endpoints and groups.

use std::collections::BTreeMap;

use base::prelude::*;

use crate::{EndpointView, GroupEntry, GroupPhase, Presence};

/// Health of a group, from the state of its members.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GroupHealth {
    /// Every member is present.
    Healthy,
    /// A member is about to leave.
    MemberLeaving,
    /// A member was removed, does not respond or has restarted.
    MemberLost,
}

/// Whether an endpoint may get new work.
pub fn is_usable(view: &EndpointView) -> bool {
    view.expires_at.is_none() && !view.is_lost && view.endpoint.presence == Presence::Ready
}

/// Whether an endpoint's last known state is that it has joined the group.
pub fn is_member(view: &EndpointView, group: &GroupEntry) -> bool {
    let membership = view.endpoint.membership.as_ref();
    membership.is_some_and(|membership| {
        membership.group == group.name
            && membership.epoch == group.epoch
            && membership.phase.has_joined()
    })
}

/// Whether a member of a serving group has reported after `since` that it is not in the group.
///
/// Only the owner may check this: other nodes may receive the record before the state of
/// the members.
pub fn has_displaced_member(
    endpoints: &BTreeMap<HostName, EndpointView>,
    group: &GroupEntry,
    since: ClockTime,
) -> bool {
    group.phase != GroupPhase::Forming
        && group.members.iter().any(|member| {
            endpoints.get(&member.id).is_some_and(|view| {
                let has_reported = view.reported_at.is_some_and(|at| at > since);
                has_reported && !is_member(view, group)
            })
        })
}

/// Health of a group, from the state of its members.
pub fn group_health(
    endpoints: &BTreeMap<HostName, EndpointView>,
    group: &GroupEntry,
) -> GroupHealth {
    let mut health = GroupHealth::Healthy;
    for member in &group.members {
        let Some(view) = endpoints.get(&member.id) else {
            return GroupHealth::MemberLost;
        };
        if view.endpoint.incarnation != member.incarnation
            || view.is_lost
            || view.is_ahead_of(group.epoch)
        {
            return GroupHealth::MemberLost;
        }
        if view.endpoint.presence == Presence::Leaving {
            health = GroupHealth::MemberLeaving;
        }
    }
    health
}
