//! Which target takes a request.

use base::prelude::*;

use crate::state::CallState;
use crate::{Lane, LaneCounts, RefusalReason, RelayState, SendTarget};

/// SendTarget that can be chosen for a request.
struct Candidate<'a> {
    target: &'a SendTarget,
    is_avoided: bool,
    /// Load that a request of the fast lane sees, in parts of the slots.
    fast_fill: f64,
    /// Load of both lanes, in parts of the slots.
    fill: f64,
    /// Penalty of another failure domain.
    far: f64,
    /// SendTarget in the turn, to spread ties.
    order: usize,
}

/// SendTarget with the least load for a request, and the lane it takes there.
///
/// While an engine has room for another request that is answered in time, the
/// request takes the fast lane. Else it takes the slow lane of the engine with
/// the shortest queue: then those that come in time stay in time, and only the
/// rest are late. Places that failed lately come last.
pub(crate) fn choose_target<'a>(
    state: &'a RelayState,
    call: &CallState,
    now: ClockTime,
) -> Result<(&'a SendTarget, Lane), RefusalReason> {
    let arrival = &call.arrival;
    let fitting: Vec<_> = state
        .targets
        .values()
        .filter(|target| target.service == arrival.service)
        .filter(|target| target.model.is_none() || target.model == arrival.model)
        .filter(|target| !call.tried.contains(&target.id))
        .collect();
    if fitting.is_empty() {
        return Err(RefusalReason::NoTarget);
    }
    let turn = state.turn as usize % fitting.len();
    let assumed = assumed_fill(state, &fitting);
    let candidates = fitting.iter().enumerate().map(|(index, target)| {
        let order = (index + fitting.len() - turn) % fitting.len();
        let mut candidate = candidate(state, target, order, now);
        candidate.fast_fill += assumed;
        candidate
    });
    let mut candidates: Vec<_> = candidates.collect();
    if let Some(sample) = state.sample {
        draw(&mut candidates, sample, state.turn);
    }
    let settings = &state.settings;
    let is_engine = arrival.model.is_some();
    let is_again = call.runs + call.rejections > 0;
    let fast = candidates.iter().filter(|candidate| {
        !is_engine || is_again || candidate.fast_fill < settings.fast_fill_limit
    });
    let lane_limit = if is_engine {
        settings.engine_fill_limit
    } else {
        settings.plain_fill_limit
    };
    let fast = fast.filter(|candidate| candidate.fill < lane_limit);
    // One that is late already leaves the room to those that can still be in time.
    let fast = fast.filter(|_| !is_engine || is_again || !call.is_late);
    if let Some(best) = least(fast, |candidate| candidate.fast_fill + candidate.far) {
        return Ok((best.target, Lane::Fast));
    }
    let slow = candidates
        .iter()
        .filter(|candidate| candidate.fill < lane_limit);
    least(slow, |candidate| candidate.fill + candidate.far)
        .map(|best| (best.target, Lane::Slow))
        .ok_or(RefusalReason::Overload)
}

/// Load of each target, in parts of its slots, if the nodes that were not heard are as busy as
/// this one.
fn assumed_fill(state: &RelayState, targets: &[&SendTarget]) -> f64 {
    if state.unreported_nodes == 0 {
        return 0.0;
    }
    let loads = targets
        .iter()
        .filter_map(|target| state.loads.get(&target.id));
    let local: u32 = loads.map(|load| load.local.sum()).sum();
    let slots: usize = targets.iter().map(|target| target.slots.max(1)).sum();
    f64::from(local) * state.unreported_nodes as f64 / slots as f64
}

/// Keeps some candidates that are drawn, those to avoid last.
fn draw(candidates: &mut Vec<Candidate<'_>>, sample: usize, turn: u64) {
    candidates.sort_by_key(|candidate| {
        // Any mix of the turn and the target will do; each turn gives another order.
        let mixed = (turn.wrapping_add(1)).wrapping_mul(candidate.order as u64 + 1);
        let mixed = mixed.wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(29);
        (
            candidate.is_avoided,
            mixed.wrapping_mul(0xbf58_476d_1ce4_e5b9),
        )
    });
    candidates.truncate(sample);
}

fn candidate<'a>(
    state: &RelayState,
    target: &'a SendTarget,
    order: usize,
    now: ClockTime,
) -> Candidate<'a> {
    let load = state.loads.get(&target.id);
    let LaneCounts { fast, slow } = load.map(|load| load.total(now)).unwrap_or_default();
    let slots = target.slots.max(1) as f64;
    let slow_fill = f64::from(slow) / slots;
    let fast_fill = f64::from(fast) / slots;
    Candidate {
        target,
        is_avoided: load.is_some_and(|load| load.avoid_until > now || load.suspect_until > now),
        fast_fill: fast_fill + slow_fill * state.settings.slow_weight,
        fill: fast_fill + slow_fill,
        far: if target.domain == state.domain {
            0.0
        } else {
            state.settings.far_penalty
        },
        order,
    }
}

/// Candidate with the least cost, those to avoid last.
fn least<'a, 'b>(
    candidates: impl Iterator<Item = &'b Candidate<'a>>,
    cost: impl Fn(&Candidate<'_>) -> f64,
) -> Option<&'b Candidate<'a>>
where
    'a: 'b,
{
    candidates.min_by(|a, b| {
        let by_cost = a
            .is_avoided
            .cmp(&b.is_avoided)
            .then(cost(a).total_cmp(&cost(b)));
        by_cost.then(a.order.cmp(&b.order))
    })
}
