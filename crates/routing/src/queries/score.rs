//! Cost of sending a call to a target.
//!
//! A report's weight fades with its age towards the average of all targets:
//! an old report says little, and a target that has gone silent must look
//! neither idle nor full.

use base::prelude::*;

use crate::state::TargetState;
use crate::{BlockHash, RoutingState};

/// Calls of other nodes for each slot, over all reports.
pub(super) struct LoadAverage(f64);

impl LoadAverage {
    /// Average of the reports, each by its weight.
    pub(super) fn of(state: &RoutingState, now: ClockTime) -> Self {
        let mut calls = 0.0;
        let mut slots = 0.0;
        for target in state.targets.values() {
            if let Some(load) = &target.load {
                let weight = report_weight(state, load.taken, now);
                calls += weight * load.others;
                slots += weight * target.spec.slots as f64;
            }
        }
        Self(if slots > 0.0 { calls / slots } else { 0.0 })
    }
}

fn report_weight(state: &RoutingState, taken: ClockTime, now: ClockTime) -> f64 {
    let fade = state.settings.load_fade.as_secs_f64();
    (-now.since(taken).as_secs_f64() / fade).exp()
}

/// Calls of all nodes that a target is thought to have.
fn estimate_calls(
    state: &RoutingState,
    target: &TargetState,
    average: &LoadAverage,
    now: ClockTime,
) -> f64 {
    let usual = average.0 * target.spec.slots as f64;
    let others = target.load.map_or(usual, |load| {
        let weight = report_weight(state, load.taken, now);
        weight * load.others + (1.0 - weight) * usual
    });
    target.local_calls as f64 + others
}

/// Expected delay of a call's first token, in seconds; the least is best.
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

/// Blocks of a prompt that the target is expected to compute.
pub(super) fn count_missing(
    state: &RoutingState,
    target: &TargetState,
    prefix: &[BlockHash],
    affine: bool,
) -> f64 {
    let rest = (prefix.len() - target.cache.count_known(prefix)) as f64;
    if !target.cache.is_unknown() {
        return rest;
    }
    let settings = &state.settings;
    let assumed = if affine {
        settings.affinity_share
    } else {
        settings.unknown_share
    };
    rest * (1.0 - assumed)
}
