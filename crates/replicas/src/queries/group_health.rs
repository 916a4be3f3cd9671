//! Health of endpoints and groups.

use std::collections::BTreeMap;

use base::prelude::*;

use crate::{EndpointView, GroupEntry, GroupPhase, MemberRef, Presence};

/// Age of a report up to which it prevails over the record; members under suspicion are probed
/// twice in that time.
const REPORT_VALIDITY: Duration = Duration::from_millis(500);

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

/// Whether a listed member responds, has not restarted and is in no newer group.
fn is_present(view: &EndpointView, member: &MemberRef, epoch: GroupEpoch) -> bool {
    view.endpoint.incarnation == member.incarnation && !view.is_lost && !view.is_ahead_of(epoch)
}

/// Whether all that a group lacks are members that are listed as of an earlier start than the one
/// that the record names.
///
/// Another owner has heard of the restart from the member itself, and its entry lags behind. A
/// probe, which is due at once for such members, tells which start is the present one: the time of
/// day, which numbers the starts, may have jumped back.
pub fn is_list_outdated(
    endpoints: &BTreeMap<HostName, EndpointView>,
    group: &GroupEntry,
    now: ClockTime,
) -> bool {
    let is_outdated = |view: &EndpointView, member: &MemberRef| {
        let reported_at = view.reported_at;
        view.endpoint.incarnation < member.incarnation
            && !view.is_lost
            && reported_at.is_none_or(|at| now.since(at) >= REPORT_VALIDITY)
    };
    group.members.iter().all(|member| {
        let view = endpoints.get(&member.id);
        view.is_some_and(|view| is_present(view, member, group.epoch) || is_outdated(view, member))
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
        if !is_present(view, member, group.epoch) {
            return GroupHealth::MemberLost;
        }
        if view.endpoint.presence == Presence::Leaving {
            health = GroupHealth::MemberLeaving;
        }
    }
    health
}
