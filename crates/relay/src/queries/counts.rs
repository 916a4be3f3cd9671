//! What runs where, here and at all nodes.

use base::prelude::*;

use crate::{LaneCounts, RelayState, TargetLoad};

/// Server of a request's present attempt.
pub fn target_of(state: &RelayState, call: CallId) -> Option<&HostName> {
    state.calls.get(&call)?.target.as_ref()
}

/// Requests of all nodes by target, as far as known.
pub fn total_counts(state: &RelayState, now: ClockTime) -> Vec<(HostName, LaneCounts)> {
    busy_places(state, |load| load.total(now))
}

/// Requests of this node by target, and those that only this node has learnt of.
pub fn local_counts(state: &RelayState, now: ClockTime) -> Vec<(HostName, LaneCounts)> {
    busy_places(state, |load| load.local.plus(load.unclaimed(now)))
}

/// Places where something counts, and how much.
fn busy_places(
    state: &RelayState,
    count: impl Fn(&TargetLoad) -> LaneCounts,
) -> Vec<(HostName, LaneCounts)> {
    let counts = state.loads.iter().map(|(id, load)| (id, count(load)));
    let busy = counts.filter(|(_, counts)| *counts != LaneCounts::default());
    busy.map(|(id, counts)| (id.clone(), counts)).collect()
}
