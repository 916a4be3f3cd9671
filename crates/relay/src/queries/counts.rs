//! What runs where, here and at all nodes.

use base::prelude::*;

use crate::{LaneCounts, RelayState};

/// Server of a request's present attempt.
pub fn place_of(state: &RelayState, call: CallId) -> Option<&HostName> {
    state.calls.get(&call)?.place.as_ref()
}

/// Requests of all nodes by place, as far as known.
pub fn total_counts(state: &RelayState, now: ClockTime) -> Vec<(HostName, LaneCounts)> {
    let totals = state
        .loads
        .iter()
        .map(|(id, load)| (id.clone(), load.total(now)));
    totals
        .filter(|(_, total)| *total != LaneCounts::default())
        .collect()
}

/// Requests of this node by place, and those that only this node has learnt of.
pub fn own_counts(state: &RelayState, now: ClockTime) -> Vec<(HostName, LaneCounts)> {
    let counts = state
        .loads
        .iter()
        .map(|(id, load)| (id.clone(), load.own.plus(load.unclaimed(now))));
    counts
        .filter(|(_, counts)| *counts != LaneCounts::default())
        .collect()
}
