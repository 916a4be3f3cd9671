//! Whether an endpoint can be used, and whether a group is whole.

use std::collections::BTreeMap;

use base::prelude::*;

use crate::{EndpointView, GroupEntry, GroupPhase, Presence};

/// What the members of a group say about it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Every member is there.
    Whole,
    /// A member is about to leave.
    Leaving,
    /// A member is gone, silent, or started again.
    Lost,
}

/// Whether an endpoint may be given work.
pub fn is_usable(view: &EndpointView) -> bool {
    view.gone_at.is_none() && !view.is_lost && view.endpoint.presence == Presence::Ready
}

/// Whether an endpoint says that it belongs to a group and has joined it.
pub fn is_member(view: &EndpointView, group: &GroupEntry) -> bool {
    let membership = view.endpoint.membership.as_ref();
    membership.is_some_and(|held| {
        held.group == group.name && held.epoch == group.epoch && held.phase.has_joined()
    })
}

/// Whether a member of a serving group has reported, since an instant, that it is elsewhere.
///
/// Only the owner asks this: other nodes may hear of the group before they hear
/// of its members.
pub fn has_strayed(
    known: &BTreeMap<HostName, EndpointView>,
    group: &GroupEntry,
    since: ClockTime,
) -> bool {
    group.phase != GroupPhase::Forming
        && group.members.iter().any(|member| {
            known.get(&member.id).is_some_and(|view| {
                let is_told = view.reported_at.is_some_and(|at| at > since);
                is_told && !is_member(view, group)
            })
        })
}

/// What the members of a group say about it.
pub fn verdict(known: &BTreeMap<HostName, EndpointView>, group: &GroupEntry) -> Verdict {
    let mut verdict = Verdict::Whole;
    for member in &group.members {
        let Some(view) = known.get(&member.id) else {
            return Verdict::Lost;
        };
        if view.endpoint.incarnation != member.incarnation
            || view.is_lost
            || view.is_ahead_of(group.epoch)
        {
            return Verdict::Lost;
        }
        if view.endpoint.presence == Presence::Leaving {
            verdict = Verdict::Leaving;
        }
    }
    verdict
}
