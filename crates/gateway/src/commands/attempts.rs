//! How attempts at calls went, and what follows.

use base::prelude::*;
use ledger::FinishedCall;
use limits::commands::claim_retry;
use limits::{CallIdempotency, IdempotentCall, RetryOutcome};

use super::calls::{dispatch, end, give_up, refuse};
use super::ledger as marks;
use crate::call::{CallPhase, CallState};
use crate::state::GatewayState;
use crate::{AttemptEnd, CallMeasure, CallStep, GatewayEffect, RefusalCause, RunState};

/// Times that a stream moves to another group outside the retry budget.
const FREE_MOVES: usize = 1;

/// Notes that an answer began, for the histograms and for later refusals.
pub fn note_begin(state: &mut GatewayState, call: CallId, now: ClockTime) -> Vec<GatewayEffect> {
    let Some(known) = state.calls.get_mut(&call) else {
        return Vec::new();
    };
    if known.began {
        return Vec::new();
    }
    known.began = true;
    known.may_have_run = true;
    vec![measure(known, "first_byte", now)]
}

/// Takes in the end of an attempt.
pub fn conclude(
    state: &mut GatewayState,
    call: CallId,
    attempt: AttemptEnd,
    now: ClockTime,
) -> Vec<GatewayEffect> {
    let Some(known) = state.calls.get(&call) else {
        return conclude_late(state, call, attempt, now);
    };
    let marked = known.idempotency == CallIdempotency::NonIdempotent;
    match attempt {
        AttemptEnd::Answered => {
            let mut effects = vec![measure(known, "whole", now)];
            effects.extend(end(state, call, now));
            effects
        }
        AttemptEnd::CallerGone if !marked => {
            let step = CallStep::Forget;
            let mut effects = vec![GatewayEffect::Step { call, step }];
            effects.extend(end(state, call, now));
            effects
        }
        // A marked call goes on, so that the other devices learn its outcome.
        AttemptEnd::CallerGone => Vec::new(),
        AttemptEnd::Recorded(answer) => {
            finish_marked(state, call, FinishedCall::Answered(answer), now)
        }
        AttemptEnd::NotSent => try_elsewhere(state, call, now),
        AttemptEnd::Lost if marked => finish_marked(state, call, FinishedCall::Unknown, now),
        AttemptEnd::Lost => retry(state, call, now),
    }
}

/// The caller was told at its deadline, but the ledger still wants the end.
fn conclude_late(
    state: &mut GatewayState,
    call: CallId,
    attempt: AttemptEnd,
    now: ClockTime,
) -> Vec<GatewayEffect> {
    let effects = match attempt {
        AttemptEnd::Recorded(answer) => {
            let finished = FinishedCall::Answered(answer);
            state.ledger.finish(call, finished, now)
        }
        AttemptEnd::Lost => state.ledger.finish(call, FinishedCall::Unknown, now),
        AttemptEnd::NotSent => state.ledger.withdraw(call, now),
        AttemptEnd::Answered | AttemptEnd::CallerGone => Vec::new(),
    };
    marks::apply(state, effects, now)
}

fn finish_marked(
    state: &mut GatewayState,
    call: CallId,
    finished: FinishedCall,
    now: ClockTime,
) -> Vec<GatewayEffect> {
    release_target(state, call);
    if let Some(known) = state.calls.get_mut(&call) {
        known.phase = CallPhase::Recording;
    }
    let effects = state.ledger.finish(call, finished, now);
    marks::apply(state, effects, now)
}

/// Nothing ran, so even a non-idempotent call may go to another target.
fn try_elsewhere(state: &mut GatewayState, call: CallId, now: ClockTime) -> Vec<GatewayEffect> {
    release_target(state, call);
    if let Some(known) = state.calls.get_mut(&call) {
        known.phase = CallPhase::Marking;
        if now >= known.deadline {
            return give_up(state, call, now);
        }
    }
    dispatch(state, call, now)
}

/// The answer was lost: an idempotent call may be run again, within the budget.
///
/// A stream that had begun moves once whatever the budget says: a group that is
/// lost takes all its streams with it, and they are no more than were running.
fn retry(state: &mut GatewayState, call: CallId, now: ClockTime) -> Vec<GatewayEffect> {
    release_target(state, call);
    let Some(known) = state.calls.get_mut(&call) else {
        return Vec::new();
    };
    known.may_have_run = true;
    let service = known.arrival.service.clone();
    let claim = IdempotentCall::new(call, known.idempotency);
    let in_time = now < known.deadline || known.began;
    let moves = known.began && known.failed.len() <= FREE_MOVES;
    let granted = claim.filter(|_| in_time).is_some_and(|claim| {
        let outcome = claim_retry(&mut state.budget, &service, claim, now);
        moves || matches!(outcome, RetryOutcome::Granted(_))
    });
    if granted {
        return dispatch(state, call, now);
    }
    let run = RunState::Unknown;
    let mut effects = vec![refuse(call, RefusalCause::EndpointLost, run, None)];
    effects.extend(end(state, call, now));
    effects
}

fn release_target(state: &mut GatewayState, call: CallId) {
    let Some(known) = state.calls.get_mut(&call) else {
        return;
    };
    if let CallPhase::Trying { target, .. } = &known.phase {
        known.failed.push(target.clone());
    }
    let service = known.arrival.service.clone();
    routing::commands::finish(state.route_of(&service), call);
}

pub(super) fn measure(call: &CallState, measure: &'static str, now: ClockTime) -> GatewayEffect {
    GatewayEffect::Measure(CallMeasure {
        workspace: call.workspace.clone(),
        service: call.arrival.service.clone(),
        measure,
        span: now.since(call.arrived_at),
    })
}
