//! Choice among engines whose times are known.

use admission::queries::{admit, demand, may_resume};
use admission::{AdmissionDecision, AdmissionInput, AdmissionRank, EngineLoad, RefusalCause};
use base::prelude::*;

use super::choose::{Candidate, ChoiceRefusal, best_candidate};
use super::spread::unit_random;
use crate::engines::EngineState;
use crate::state::CallState;
use crate::{AdmissionRefusal, Lane, RefusalReason, RelayState, SendTarget};

/// Makes the draws of admissions independent of those of targets.
const ADMISSION_SALT: u64 = 0x2545_f491_4f6c_dd1d;
/// The same for the draws of retry delays.
const DELAY_SALT: u64 = 0x9fb2_1c65_1e98_df25;

/// Engines that a request needs, if their times are known.
pub(super) fn engine_of<'a>(state: &'a RelayState, call: &CallState) -> Option<&'a EngineState> {
    let arrival = &call.arrival;
    state.engines.get(&arrival.service, arrival.model.as_ref())
}

/// Rank of a request that is admitted by it.
pub(crate) fn admission_rank(call: &CallState) -> AdmissionRank {
    AdmissionRank {
        is_late: call.is_late,
        priority: call.arrival.priority,
    }
}

/// Whether more urgent requests for the same engines arrive, for which room is kept.
pub(super) fn has_more_urgent(
    state: &RelayState,
    engine: &EngineState,
    call: &CallState,
    now: ClockTime,
) -> bool {
    let workspace = call.arrival.workspace.as_ref();
    let rank = admission_rank(call);
    demand(&engine.rates, rank, workspace, state.weight_ratio, now).more_urgent > 0.0
}

/// Target of a request among the candidates, or the refusal.
///
/// A request that was sent before, or that a client resumes, has a caller who has received a part
/// of the answer or has waited for it, so it isn't weighed against new ones.
pub(super) fn choose_admitted<'a>(
    state: &RelayState,
    engine: &EngineState,
    call: &CallState,
    candidates: &[Candidate<'a>],
    now: ClockTime,
) -> Result<(&'a SendTarget, Lane), ChoiceRefusal> {
    let arrival = &call.arrival;
    let cost = |candidate: &Candidate<'_>| candidate.fast_utilization + candidate.penalty;
    if call.is_retry() || arrival.is_resumed {
        let open = candidates.iter();
        let open = open.filter(|candidate| may_resume(&candidate.load));
        let best = best_candidate(state, open, cost);
        return best
            .map(|best| (best.target, Lane::Fast))
            .ok_or(RefusalReason::Overload.into());
    }
    let rank = admission_rank(call);
    let workspace = arrival.workspace.as_ref();
    let demand = demand(&engine.rates, rank, workspace, state.weight_ratio, now);
    let loads: Vec<EngineLoad> = candidates.iter().map(|candidate| candidate.load).collect();
    let input = AdmissionInput {
        rank,
        tokens: arrival.tokens,
        objective_left: call.objective_end.since(now),
        deadline_left: arrival.deadline.since(now),
        loads: &loads,
        counts_age: state.counts_age.unwrap_or_default(),
        demand: &demand,
        admission_draw: unit_random(state.rotation ^ ADMISSION_SALT),
        delay_draw: unit_random(state.rotation ^ DELAY_SALT),
    };
    match admit(&engine.estimate, &input) {
        AdmissionDecision::Admit(rooms) => {
            let open = candidates.iter().zip(rooms);
            let open = open.filter(|(_, room)| *room > 0.0);
            let open = open.map(|(candidate, _)| candidate);
            let lane = match rank.is_late {
                true => Lane::Slow,
                false => Lane::Fast,
            };
            let best = best_candidate(state, open, cost);
            best.map(|best| (best.target, lane))
                .ok_or(RefusalReason::Overload.into())
        }
        AdmissionDecision::Refuse(cause, advice) => Err(ChoiceRefusal {
            reason: match cause {
                RefusalCause::NoRoom => RefusalReason::Overload,
                RefusalCause::OverShare => RefusalReason::OverShare,
                RefusalCause::NoHeadroom => RefusalReason::NoHeadroom,
            },
            retry_delay: Some(advice.retry_delay),
            admission: Some(AdmissionRefusal {
                predicted_wait: advice.predicted_wait,
                priority: arrival.priority,
            }),
        }),
    }
}
