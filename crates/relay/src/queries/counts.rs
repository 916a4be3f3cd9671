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

/// Requests of this node by place.
pub fn own_counts(state: &RelayState) -> Vec<(HostName, LaneCounts)> {
    let busy = state
        .loads
        .iter()
        .filter(|(_, load)| load.own != LaneCounts::default());
    busy.map(|(id, load)| (id.clone(), load.own)).collect()
}
