//! Updates of the targets and their load.

use base::prelude::*;
use intent::RoutingConfig;

use crate::state::OpenAttempt;
use crate::{AttemptId, Lane, LaneCounts, RelayState, SendTarget};

/// Replaces the targets; keeps the load of those that remain.
pub fn set_targets(state: &mut RelayState, targets: Vec<SendTarget>) {
    for target in &targets {
        let epoch = state.targets.get(&target.id).map(|entry| entry.epoch);
        if epoch != Some(target.epoch) {
            // A new group does not inherit the failures of the previous one.
            let load = state.loads.entry(target.id.clone()).or_default();
            load.failures = 0;
            load.avoid_until = ClockTime::default();
            load.received_at = None;
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

/// Adopts the times of the engines that a configuration names.
pub fn set_engines(state: &mut RelayState, config: &RoutingConfig) {
    let min_slots = state.settings.admission_min_slots;
    state.engines.configure(config, min_slots);
}

/// Replaces the counts of another node.
pub fn update_remote_counts(
    state: &mut RelayState,
    node: &NodeName,
    counts: &[(HostName, LaneCounts)],
    now: ClockTime,
) {
    for load in state.loads.values_mut() {
        load.remote.remove(node);
    }
    let expires = now + state.settings.remote_counts_validity;
    for (id, count) in counts {
        if let Some(load) = state.loads.get_mut(id) {
            load.remote.insert(node.clone(), (*count, expires));
        }
    }
}

/// Updates the number of requests that a target reports.
///
/// Requests that no node has announced belong to failed nodes. The target runs them
/// all the same, and new requests that relied on their slots would be late.
pub fn update_engine_load(state: &mut RelayState, id: &HostName, requests: u32, now: ClockTime) {
    let expires = now + state.settings.reported_load_validity;
    if let Some(load) = state.loads.get_mut(id) {
        let unattributed = requests.saturating_sub(load.attributed(now).sum());
        load.unattributed = (unattributed, expires);
    }
}

/// Records that data of an attempt's response has arrived. Other attempts of the request end.
pub fn record_progress(state: &mut RelayState, attempt: AttemptId, now: ClockTime) {
    let AttemptId { call, number } = attempt;
    let Some(entry) = state.calls.get_mut(&call) else {
        return;
    };
    let Some(open) = entry.open.iter_mut().find(|open| open.number == number) else {
        return;
    };
    let arrival = &entry.arrival;
    let is_first_event = !open.has_begun && number == 1 && arrival.route.kind.is_stream();
    // Only these are sent with a slot expected to be free.
    if is_first_event
        && open.lane == Lane::Fast
        && let Some(engine) = (state.engines).get_mut(&arrival.service, arrival.model.as_ref())
    {
        let (tokens, load) = (arrival.tokens, f64::from(open.load));
        let observed = now.since(open.sent_at);
        (engine.estimate).record_first_event(tokens, load, observed, now);
    }
    open.has_begun = true;
    if let Some(load) = state.loads.get_mut(&open.target) {
        load.received_at = Some(now);
        load.suspect_until = ClockTime::default();
        load.failures = 0;
    }
    release_attempts(state, call, |open| open.number != number);
}

/// Replaces the counts of all other nodes by totals over all nodes, as summed up by `node`.
///
/// The requests of this node are subtracted from the totals.
pub fn update_total_counts(
    state: &mut RelayState,
    node: &NodeName,
    totals: &[(HostName, LaneCounts)],
    now: ClockTime,
) {
    let others = totals.iter().map(|(id, total)| {
        let local = state
            .loads
            .get(id)
            .map(|load| load.local)
            .unwrap_or_default();
        (id.clone(), total.minus(local))
    });
    let others: Vec<_> = others.collect();
    // Sums of another node would count each request twice.
    for load in state.loads.values_mut() {
        load.remote.clear();
    }
    update_remote_counts(state, node, &others, now);
}

/// Marks a target as suspect because its streams are silent; others are preferred for a while.
pub fn suspect_target(state: &mut RelayState, id: &HostName, now: ClockTime) {
    let until = now + state.settings.suspect_duration;
    if let Some(load) = state.loads.get_mut(id) {
        load.suspect_until = load.suspect_until.max(until);
    }
}

/// Forgets the failures of all targets, because they were failures of this node's own links.
pub fn forgive_targets(state: &mut RelayState) {
    for load in state.loads.values_mut() {
        load.failures = 0;
        load.avoid_until = ClockTime::default();
        load.suspect_until = ClockTime::default();
    }
}

/// Counts the start of an attempt at its target.
pub(super) fn record_attempt_start(state: &mut RelayState, id: &HostName, lane: Lane) {
    *state.loads.entry(id.clone()).or_default().local.of(lane) += 1;
}

/// Counts the end of an attempt; returns its target.
pub(super) fn record_attempt_end(state: &mut RelayState, attempt: AttemptId) -> Option<HostName> {
    release_attempts(state, attempt.call, |open| open.number == attempt.number).pop()
}

/// Counts the end of those open attempts of a request; returns their targets.
pub(super) fn release_attempts(
    state: &mut RelayState,
    call: CallId,
    is_released: impl Fn(&OpenAttempt) -> bool,
) -> Vec<HostName> {
    let Some(entry) = state.calls.get_mut(&call) else {
        return Vec::new();
    };
    let released = entry.open.extract_if(.., |open| is_released(open));
    let loads = &mut state.loads;
    let targets = released.map(|open| {
        if let Some(load) = loads.get_mut(&open.target) {
            let count = load.local.of(open.lane);
            *count = count.saturating_sub(1);
        }
        open.target
    });
    targets.collect()
}
