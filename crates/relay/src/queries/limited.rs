//! Which requests are served where every target is limited or full.

use base::prelude::*;
use notices::queries::{
    cold_servers, cold_until, has_spare_turn, is_leaving, is_silent, limit_of, may_send,
    paused_until, send_rate,
};

use super::spread::unit_random;
use crate::state::CallState;
use crate::{CallArrival, RelayState, SendTarget};

/// Requests a second below which turns are not kept for them.
const MIN_RATE: f64 = 0.1;
/// Longest delay after which a refused client may retry.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(4);

/// Makes the draws of admissions independent of those of targets.
const ADMISSION_SALT: u64 = 0x5851_f42d_4c95_7f2d;

/// Whether a request gets one of the turns that are left.
///
/// More urgent requests come first: as many turns as they are likely to need are kept for them,
/// each until it has been unused for a while.
pub(super) fn is_admitted(
    state: &RelayState,
    call: &CallState,
    targets: &[&SendTarget],
    now: ClockTime,
) -> bool {
    let is_retry = call.is_retry();
    let (more_urgent, equal) = competing_rates(state, call, now);
    if is_retry || more_urgent < MIN_RATE {
        return true;
    }
    let left = turn_rate(state, targets) - more_urgent;
    let is_spare = |target: &&SendTarget| has_spare_turn(&state.notices, &target.id, now);
    left >= equal
        || unit_random(state.rotation ^ ADMISSION_SALT) * equal < left
        || targets.iter().any(is_spare)
}

/// Delay after which a client that was refused may retry: until a cold target is warm or this node
/// has its next turn there, or until the other targets may take it, whichever is sooner.
pub(crate) fn limited_retry_delay(
    state: &RelayState,
    call: &CallState,
    now: ClockTime,
) -> Duration {
    let targets = suitable_targets(state, call);
    let open_at =
        |target: &SendTarget| cold_until(&state.notices, &target.id, target.incarnation, now);
    let (cold, others): (Vec<_>, Vec<_>) = targets
        .into_iter()
        .partition(|target| open_at(target).is_some());
    let warm_at = cold.into_iter().filter_map(open_at).min();
    match warm_at.map(|at| at.since(now)) {
        Some(delay) if others.is_empty() => delay,
        Some(delay) => delay.min(named_retry_delay(state, call, others, now)),
        None => named_retry_delay(state, call, others, now),
    }
}

/// Delay of a client that was refused because of what the targets have announced: until the first
/// one wants requests again; or for want of a turn, the longer the more requests compete for the
/// turns.
fn named_retry_delay(
    state: &RelayState,
    call: &CallState,
    targets: Vec<&SendTarget>,
    now: ClockTime,
) -> Duration {
    let pauses = targets
        .iter()
        .filter_map(|target| paused_until(&state.notices, &target.id, target.incarnation, now));
    if let Some(until) = pauses.min()
        && turn_rate(state, &targets) == 0.0
    {
        // Nobody takes the request before that, so the client need not ask.
        return until.since(now).max(state.settings.retry_after);
    }
    let (more_urgent, equal) = competing_rates(state, call, now);
    let supply = (turn_rate(state, &targets) - more_urgent).max(0.0);
    let excess = (equal / supply.max(f64::MIN_POSITIVE)).clamp(1.0, 100.0);
    state
        .settings
        .retry_after
        .mul_f64(excess)
        .min(MAX_RETRY_DELAY)
}

/// Targets that can run a request and may be sent it; none of an evacuated failure domain.
pub(super) fn suitable_targets<'a>(state: &'a RelayState, call: &CallState) -> Vec<&'a SendTarget> {
    let arrival = &call.arrival;
    let targets = state.targets.values();
    targets
        .filter(|target| serves(target, arrival))
        .filter(|target| !is_in_evacuated_domain(state, target))
        .filter(|target| !call.tried.contains(&target.id))
        .filter(|target| !call.excluded.contains(&target.id))
        .collect()
}

/// Whether a target runs requests of this kind.
fn serves(target: &SendTarget, arrival: &CallArrival) -> bool {
    target.service == arrival.service && (target.model.is_none() || target.model == arrival.model)
}

/// Whether a target's failure domain is evacuated.
pub(super) fn is_in_evacuated_domain(state: &RelayState, target: &SendTarget) -> bool {
    state.evacuated.contains(&target.domain)
}

/// Number of targets that run requests of this kind but whose failure domain is evacuated.
pub(crate) fn evacuated_count(state: &RelayState, call: &CallState) -> u64 {
    if state.evacuated.is_empty() {
        return 0;
    }
    let targets = state.targets.values();
    let evacuated = targets
        .filter(|target| serves(target, &call.arrival) && is_in_evacuated_domain(state, target));
    evacuated.count() as u64
}

/// Whether nothing that a target has announced keeps this node from sending to it now.
pub(super) fn is_open(state: &RelayState, target: &SendTarget, now: ClockTime) -> bool {
    may_send(&state.notices, &target.id, target.incarnation, now)
}

/// Whether a target has announced that it leaves.
pub(super) fn leaves(state: &RelayState, target: &SendTarget) -> bool {
    is_leaving(&state.notices, &target.id, target.incarnation)
}

/// Number of targets that can run a request but are passed over because of what they have
/// announced.
pub(crate) fn passed_over_count(state: &RelayState, call: &CallState, now: ClockTime) -> u32 {
    if is_silent(&state.notices) {
        return 0;
    }
    let suitable = suitable_targets(state, call);
    let passed_over = suitable
        .iter()
        .filter(|target| !is_open(state, target, now));
    u32::try_from(passed_over.count()).unwrap_or(u32::MAX)
}

/// Number of targets that can run a request but are passed over because they are cold.
pub(crate) fn cold_count(state: &RelayState, call: &CallState, now: ClockTime) -> u64 {
    if cold_servers(&state.notices, now).next().is_none() {
        return 0;
    }
    let suitable = suitable_targets(state, call);
    let is_cold = |target: &&&SendTarget| {
        cold_until(&state.notices, &target.id, target.incarnation, now).is_some()
    };
    suitable.iter().filter(is_cold).count() as u64
}

/// Whether a target names a limit.
pub(super) fn is_limited(state: &RelayState, target: &SendTarget) -> bool {
    limit_of(&state.notices, &target.id).is_some()
}

/// Turns a second that this node has at limited targets.
fn turn_rate(state: &RelayState, targets: &[&SendTarget]) -> f64 {
    let rates = targets
        .iter()
        .filter_map(|target| send_rate(&state.notices, &target.id));
    rates.sum()
}

/// Rates of the more urgent requests that compete with one, and of the equally urgent ones.
fn competing_rates(state: &RelayState, call: &CallState, now: ClockTime) -> (f64, f64) {
    let pool = (call.arrival.service.clone(), call.arrival.model.clone());
    state.demand.by_urgency(&pool, call.urgency, now)
}
