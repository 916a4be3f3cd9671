//! Choice of the target for a request.

use admission::EngineLoad;
use base::prelude::*;

use super::admitted::{choose_admitted, engine_of, has_more_urgent};
use super::domain_cost::domain_cost;
use super::limited::{is_admitted, is_limited, is_open, leaves, suitable_targets};
use super::spread::{SpreadOption, choose_spread};
use crate::state::CallState;
use crate::{AdmissionRefusal, Lane, LaneCounts, RefusalReason, RelayState, SendTarget};

/// Target that can be chosen for a request.
pub(super) struct Candidate<'a> {
    pub target: &'a SendTarget,
    is_avoided: bool,
    /// Requests in flight, assumed ones included.
    pub load: EngineLoad,
    /// Load per slot as a request in the fast lane sees it.
    pub fast_utilization: f64,
    /// Load per slot of both lanes.
    utilization: f64,
    /// Load per slot added for another failure domain.
    pub penalty: f64,
    /// Position in the rotation, to spread ties.
    tie_break: usize,
}

/// Why no target is chosen.
pub(crate) struct ChoiceRefusal {
    pub reason: RefusalReason,
    /// Delay after which the client may retry; `None` for the usual one.
    pub retry_delay: Option<Duration>,
    pub admission: Option<AdmissionRefusal>,
}

impl From<RefusalReason> for ChoiceRefusal {
    fn from(reason: RefusalReason) -> Self {
        Self {
            reason,
            retry_delay: None,
            admission: None,
        }
    }
}

/// Target with the least load for a request, and the lane to use there.
///
/// The request takes the fast lane while an engine can run another request within
/// the objective. Otherwise it takes the slow lane of the engine with the shortest
/// queue, so that requests already in the fast lane stay in time and only the others
/// are late. Targets that failed recently are the last choice. Engines whose times are known
/// are sent only the requests that [`admission`] admits.
pub(crate) fn choose_target<'a>(
    state: &'a RelayState,
    call: &CallState,
    now: ClockTime,
) -> Result<(&'a SendTarget, Lane), ChoiceRefusal> {
    let arrival = &call.arrival;
    let suitable = suitable_targets(state, call);
    if suitable.is_empty() {
        return Err(RefusalReason::NoTarget.into());
    }
    let eligible: Vec<_> = suitable
        .iter()
        .filter(|target| is_open(state, target, now))
        .copied()
        .collect();
    if eligible.is_empty() {
        return Err(match suitable.iter().all(|target| leaves(state, target)) {
            true => RefusalReason::NoTarget,
            false => RefusalReason::Limited,
        }
        .into());
    }
    let rotation = state.rotation as usize % eligible.len();
    let assumed = assumed_utilization(state, &eligible);
    let candidates = eligible.iter().enumerate().map(|(index, target)| {
        let tie_break = (index + eligible.len() - rotation) % eligible.len();
        let mut candidate = candidate(state, target, tie_break, now);
        candidate.fast_utilization += assumed;
        candidate.load.in_time += assumed * candidate.load.slots;
        candidate
    });
    let candidates = without_avoided(candidates.collect());
    let settings = &state.settings;
    let is_engine = arrival.model.is_some();
    let is_retry = call.is_retry();
    let max_utilization = if is_engine {
        settings.max_engine_utilization
    } else {
        settings.max_plain_utilization
    };
    let has_unlimited = candidates.iter().any(|candidate| {
        candidate.utilization < max_utilization && !is_limited(state, candidate.target)
    });
    if !has_unlimited
        && suitable.iter().any(|target| is_limited(state, target))
        && !is_admitted(state, call, &suitable, now)
    {
        return Err(RefusalReason::Limited.into());
    }
    let engine = engine_of(state, call);
    if let Some(engine) = engine
        && (is_returned(state, call, now)
            || has_more_urgent(state, engine, call, now)
            || is_nearly_full(state, &candidates))
    {
        return choose_admitted(state, engine, call, &candidates, now);
    }
    let fast = candidates.iter().filter(|candidate| {
        !is_engine || is_retry || candidate.fast_utilization < settings.max_fast_utilization
    });
    let fast = fast.filter(|candidate| candidate.utilization < max_utilization);
    // A request that is already late leaves the fast lane to those that can still be in time.
    let fast = fast.filter(|_| !is_engine || is_retry || !call.is_late);
    if let Some(best) = best_candidate(state, fast, |candidate| {
        candidate.fast_utilization + candidate.penalty
    }) {
        return Ok((best.target, Lane::Fast));
    }
    // Engines whose times are known are never sent more than they can run at once.
    let max_slow_utilization = match engine {
        Some(_) => 1.0,
        None => max_utilization,
    };
    let slow = candidates
        .iter()
        .filter(|candidate| candidate.utilization < max_slow_utilization);
    let best = best_candidate(state, slow, |candidate| {
        candidate.utilization + candidate.penalty
    });
    match (best, engine) {
        (Some(best), _) => Ok((best.target, Lane::Slow)),
        (None, Some(engine)) => choose_admitted(state, engine, call, &candidates, now),
        (None, None) => Err(RefusalReason::Overload.into()),
    }
}

/// Whether a client has waited for longer than its objective because it was refused before.
///
/// Timeouts vary from client to client, so without a refusal a short one is no sign of a return.
fn is_returned(state: &RelayState, call: &CallState, now: ClockTime) -> bool {
    let timeout = call.arrival.route.timeout;
    call.is_late && state.refused_at.is_some_and(|at| now < at + timeout)
}

/// Whether the candidates together are so full that the next requests may have to wait.
///
/// Below that every request finds a slot, and a decision by rates would refuse some by chance: a
/// node sees a few requests a second.
fn is_nearly_full(state: &RelayState, candidates: &[Candidate<'_>]) -> bool {
    let loads = || candidates.iter().map(|candidate| candidate.load);
    let slots: f64 = loads().map(|load| load.slots).sum();
    let total: f64 = loads().map(|load| load.total()).sum();
    total >= slots * state.settings.admission_utilization
}

/// Load per slot added to each target on the assumption that the nodes without counts are as
/// busy as this one.
fn assumed_utilization(state: &RelayState, targets: &[&SendTarget]) -> f64 {
    if state.unreported_nodes == 0 {
        return 0.0;
    }
    let loads = targets
        .iter()
        .filter_map(|target| state.loads.get(&target.id));
    let local: u32 = loads.map(|load| load.local.sum()).sum();
    let slots: f64 = targets
        .iter()
        .map(|target| target.slots.max(1) as f64)
        .sum();
    f64::from(local) * state.unreported_nodes as f64 / slots
}

fn candidate<'a>(
    state: &RelayState,
    target: &'a SendTarget,
    tie_break: usize,
    now: ClockTime,
) -> Candidate<'a> {
    let load = state.loads.get(&target.id);
    let LaneCounts { fast, slow } = load.map(|load| load.total(now)).unwrap_or_default();
    let slots = target.slots.max(1) as f64;
    let slow_utilization = f64::from(slow) / slots;
    let fast_utilization = f64::from(fast) / slots;
    Candidate {
        target,
        is_avoided: load.is_some_and(|load| load.avoid_until > now || load.suspect_until > now),
        load: EngineLoad {
            slots,
            in_time: f64::from(fast),
            late: f64::from(slow),
        },
        fast_utilization: fast_utilization + slow_utilization * state.settings.slow_lane_weight,
        utilization: fast_utilization + slow_utilization,
        penalty: domain_cost(state, target),
        tie_break,
    }
}

/// Candidates that are not to be avoided; all of them if there are no others.
///
/// This comes before the choice of the lane: heads of lost groups have the lowest load, as
/// they reject requests, and would attract all of them while the other heads are busy.
fn without_avoided(candidates: Vec<Candidate<'_>>) -> Vec<Candidate<'_>> {
    if candidates.iter().all(|candidate| candidate.is_avoided) {
        return candidates;
    }
    let usable = candidates
        .into_iter()
        .filter(|candidate| !candidate.is_avoided);
    usable.collect()
}

/// Candidate for a request: the one with the least cost, or a random one of those with low
/// costs if the costs are old.
pub(super) fn best_candidate<'a, 'b>(
    state: &RelayState,
    candidates: impl Iterator<Item = &'b Candidate<'a>>,
    cost: impl Fn(&Candidate<'_>) -> f64,
) -> Option<&'b Candidate<'a>>
where
    'a: 'b,
{
    let Some(age) = state.counts_age else {
        return candidates.min_by(|a, b| {
            let by_cost = cost(a).total_cmp(&cost(b));
            by_cost.then(a.tie_break.cmp(&b.tie_break))
        });
    };
    let candidates: Vec<_> = candidates.collect();
    let options: Vec<_> = candidates
        .iter()
        .map(|candidate| SpreadOption {
            cost: cost(candidate),
            capacity: candidate.target.slots.max(1) as f64,
            load: candidate.utilization * candidate.target.slots.max(1) as f64,
        })
        .collect();
    choose_spread(&options, age, state.rotation).map(|index| candidates[index])
}
