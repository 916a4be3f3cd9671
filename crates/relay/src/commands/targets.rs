//! Takes in the targets and what runs there.

use base::prelude::*;

use crate::{Lane, LaneCounts, RelayState, SendTarget};

/// Replaces the targets; loads of targets that stay are kept.
pub fn set_targets(state: &mut RelayState, targets: Vec<SendTarget>) {
    for target in &targets {
        let epoch = state.targets.get(&target.id).map(|known| known.epoch);
        if epoch != Some(target.epoch) {
            // A new group starts without the failures of the one before.
            let load = state.loads.entry(target.id.clone()).or_default();
            load.failures = 0;
            load.avoid_until = ClockTime::default();
            load.heard_at = None;
            load.suspect_until = ClockTime::default();
        }
    }
    state.targets = targets
        .into_iter()
        .map(|target| (target.id.clone(), target))
        .collect();
    let (targets, loads) = (&state.targets, &mut state.loads);
    loads.retain(|id, load| load.local != LaneCounts::default() || targets.contains_key(id));
}

/// Takes in what another node has running.
pub fn update_remote_counts(
    state: &mut RelayState,
    node: &NodeName,
    counts: &[(HostName, LaneCounts)],
    now: ClockTime,
) {
    for load in state.loads.values_mut() {
        load.remote.remove(node);
    }
    let expires = now + state.settings.remote_span;
    for (id, count) in counts {
        if let Some(load) = state.loads.get_mut(id) {
            load.remote.insert(node.clone(), (*count, expires));
        }
    }
}

/// Takes in how many requests a target reports.
///
/// What no node has told of belongs to nodes that are gone; the target works on
/// it all the same, and requests that count on its slots would come late.
pub fn update_engine_load(state: &mut RelayState, id: &HostName, requests: u32, now: ClockTime) {
    let expires = now + state.settings.report_span;
    if let Some(load) = state.loads.get_mut(id) {
        let unclaimed = requests.saturating_sub(load.claimed(now).sum());
        load.unclaimed = (unclaimed, expires);
    }
}

/// Notes that bytes of a request's answer came.
pub fn record_progress(state: &mut RelayState, call: CallId, now: ClockTime) {
    let Some(known) = state.calls.get_mut(&call) else {
        return;
    };
    known.has_begun = true;
    if let Some(load) = known.target.as_ref().and_then(|id| state.loads.get_mut(id)) {
        load.heard_at = Some(now);
        load.suspect_until = ClockTime::default();
        load.failures = 0;
    }
}

/// Takes in what all nodes together have running, as one of them has summed it up.
///
/// What this node has there itself is left out again.
pub fn update_total_counts(
    state: &mut RelayState,
    node: &NodeName,
    totals: &[(HostName, LaneCounts)],
    now: ClockTime,
) {
    let others = totals.iter().map(|(id, total)| {
        let own = state
            .loads
            .get(id)
            .map(|load| load.local)
            .unwrap_or_default();
        (id.clone(), total.minus(own))
    });
    let others: Vec<_> = others.collect();
    update_remote_counts(state, node, &others, now);
}

/// Prefers other targets for a moment, because one's streams are silent.
pub fn suspect_target(state: &mut RelayState, id: &HostName, now: ClockTime) {
    let until = now + state.settings.suspect_span;
    if let Some(load) = state.loads.get_mut(id) {
        load.suspect_until = load.suspect_until.max(until);
    }
}

/// Counts an attempt's start at a target.
pub(super) fn occupy(state: &mut RelayState, id: &HostName, lane: Lane) {
    *state.loads.entry(id.clone()).or_default().local.of(lane) += 1;
}

/// Counts an attempt's end at its target.
pub(super) fn vacate(state: &mut RelayState, call: CallId) -> Option<HostName> {
    let known = state.calls.get_mut(&call)?;
    let id = known.target.take()?;
    if let Some(load) = state.loads.get_mut(&id) {
        let count = load.local.of(known.lane);
        *count = count.saturating_sub(1);
    }
    Some(id)
}
