//! Cost of sending a call to a target.
//!
//! The weight of a load report decays with its age, and the average of all targets
//! takes its place: an old report says little about the present load, and a target
//! that no longer reports should count as neither idle nor full.

use base::prelude::*;

use crate::state::TargetState;
use crate::{BlockHash, RoutingState};

/// Average number of other nodes' calls per slot.
pub(super) struct LoadAverage(f64);

impl LoadAverage {
    /// Average over all reports, weighted by their age.
    pub(super) fn of(state: &RoutingState, now: ClockTime) -> Self {
        let mut calls = 0.0;
        let mut slots = 0.0;
        for target in state.targets.values() {
            if let Some(load) = &target.load {
                let weight = report_weight(state, load.requested_at, now);
                calls += weight * load.other_calls;
                slots += weight * target.spec.slots as f64;
            }
        }
        Self(if slots > 0.0 { calls / slots } else { 0.0 })
    }
}

fn report_weight(state: &RoutingState, requested_at: ClockTime, now: ClockTime) -> f64 {
    let decay = state.settings.load_decay.as_secs_f64();
    (-now.since(requested_at).as_secs_f64() / decay).exp()
}

/// Estimated number of calls of all nodes at a target.
fn estimate_calls(
    state: &RoutingState,
    target: &TargetState,
    average: &LoadAverage,
    now: ClockTime,
) -> f64 {
    let average_calls = average.0 * target.spec.slots as f64;
    let other_calls = target.load.map_or(average_calls, |load| {
        let weight = report_weight(state, load.requested_at, now);
        weight * load.other_calls + (1.0 - weight) * average_calls
    });
    target.local_calls as f64 + other_calls
}

/// Expected delay of a call's first token in seconds; the lowest score is best.
pub(super) fn score_target(
    state: &RoutingState,
    target: &TargetState,
    missing: f64,
    average: &LoadAverage,
    now: ClockTime,
) -> f64 {
    let settings = &state.settings;
    let slots = target.spec.slots.max(1) as f64;
    let calls = estimate_calls(state, target, average, now) + 1.0;
    let waiting = (calls - slots).max(0.0);
    settings.load_cost.as_secs_f64() * calls / slots
        + settings.wait_cost.as_secs_f64() * waiting / slots
        + settings.block_cost.as_secs_f64() * missing
}

/// Expected number of a prompt's blocks that the target has to compute.
pub(super) fn count_missing(
    state: &RoutingState,
    target: &TargetState,
    prefix: &[BlockHash],
    has_affinity: bool,
) -> f64 {
    let not_cached = (prefix.len() - target.cache.count_cached(prefix)) as f64;
    if !target.cache.is_incomplete() {
        return not_cached;
    }
    let settings = &state.settings;
    let assumed = if has_affinity {
        settings.affinity_share
    } else {
        settings.unknown_share
    };
    not_cached * (1.0 - assumed)
}
