//! Numbers of requests by target, of this node and of all nodes.

use base::prelude::*;

use crate::{LaneCounts, RelayState, SentAttempt, TargetLoad};

/// Target of a request's present attempt.
pub fn target_of(state: &RelayState, call: CallId) -> Option<&HostName> {
    state.calls.get(&call)?.target.as_ref()
}

/// Present attempt of a request.
pub fn attempt_of(state: &RelayState, call: CallId) -> Option<SentAttempt> {
    let entry = state.calls.get(&call)?;
    Some(SentAttempt {
        target: entry.target.clone()?,
        incarnation: entry.incarnation,
        epoch: entry.epoch,
        sent_at: entry.sent_at,
    })
}

/// Requests of all nodes by target, from the latest counts.
pub fn total_counts(state: &RelayState, now: ClockTime) -> Vec<(HostName, LaneCounts)> {
    nonzero_counts(state, |load| load.total(now))
}

/// Requests of this node by target, plus those of failed nodes that a target reported here.
pub fn local_counts(state: &RelayState, now: ClockTime) -> Vec<(HostName, LaneCounts)> {
    nonzero_counts(state, |load| load.local.plus(load.unattributed(now)))
}

/// Targets with a count other than zero.
fn nonzero_counts(
    state: &RelayState,
    count: impl Fn(&TargetLoad) -> LaneCounts,
) -> Vec<(HostName, LaneCounts)> {
    let counts = state.loads.iter().map(|(id, load)| (id, count(load)));
    let nonzero = counts.filter(|(_, counts)| *counts != LaneCounts::default());
    nonzero.map(|(id, counts)| (id.clone(), counts)).collect()
}
