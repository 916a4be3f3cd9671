//! Whether an endpoint can be used, and whether a group is whole.

use std::collections::BTreeMap;

use base::prelude::*;

use crate::{EndpointView, GroupEntry, Presence};

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

/// What the members of a group say about it.
pub fn verdict(known: &BTreeMap<HostName, EndpointView>, group: &GroupEntry) -> Verdict {
    let mut verdict = Verdict::Whole;
    for member in &group.members {
        let Some(view) = known.get(&member.id) else {
            return Verdict::Lost;
        };
        if view.endpoint.run != member.run || view.is_lost || view.is_ahead_of(group.epoch) {
            return Verdict::Lost;
        }
        if view.endpoint.presence == Presence::Leaving {
            verdict = Verdict::Leaving;
        }
    }
    verdict
}
