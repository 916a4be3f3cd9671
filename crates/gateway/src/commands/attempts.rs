//! Outcomes of attempts: completion, retries and failover.

use base::prelude::*;
use ledger::FinishedCall;
use limits::commands::claim_retry;
use limits::{CallIdempotency, IdempotentCall, RetryOutcome};

use super::calls::{dispatch, refuse, refuse_without_target, remove_call};
use super::holds;
use super::ledger as ledger_effects;
use crate::call::{CallProgress, CallState};
use crate::state::GatewayState;
use crate::{
    AttemptEnd, AttemptNumber, CallMeasure, CallStep, GatewayEffect, RefusalCause, RunState,
};

/// Attempts of a started stream after which the retry budget limits its failovers.
const UNBUDGETED_ATTEMPTS: AttemptNumber = AttemptNumber(1);

/// Records that the response has started.
pub fn record_response_start(
    state: &mut GatewayState,
    call: CallId,
    now: ClockTime,
) -> Vec<GatewayEffect> {
    let Some(call_state) = state.calls.get_mut(&call) else {
        return Vec::new();
    };
    if call_state.response_started {
        return Vec::new();
    }
    call_state.response_started = true;
    vec![measure(call_state, "first_byte", now)]
}

/// Handles the outcome of an attempt.
pub fn complete(
    state: &mut GatewayState,
    call: CallId,
    attempt: AttemptNumber,
    end: AttemptEnd,
    now: ClockTime,
) -> Vec<GatewayEffect> {
    let Some(call_state) = state.calls.get_mut(&call) else {
        return complete_late(state, call, end, now);
    };
    if call_state.attempt_mut(attempt).is_none() {
        return Vec::new();
    }
    let is_non_idempotent = call_state.idempotency == CallIdempotency::NonIdempotent;
    match end {
        AttemptEnd::Answered => {
            let mut effects = vec![measure(call_state, "whole", now)];
            effects.extend(remove_call(state, call, now));
            effects
        }
        AttemptEnd::Recorded(response) => {
            release_attempt(state, call, attempt, true);
            record_outcome(state, call, FinishedCall::Answered(response), now)
        }
        AttemptEnd::NotSent(proof) => {
            call_state.record_not_run(attempt, proof);
            release_attempt(state, call, attempt, true);
            try_next_target(state, call, now)
        }
        AttemptEnd::Lost => {
            release_attempt(state, call, attempt, true);
            if is_non_idempotent {
                return record_outcome(state, call, FinishedCall::Unknown, now);
            }
            retry(state, call, now)
        }
    }
}

/// Ends a call whose caller has disconnected.
///
/// A non-idempotent call goes on: the caller may repeat the request with the same key
/// from another device and must get its outcome.
pub fn discard_caller(
    state: &mut GatewayState,
    call: CallId,
    now: ClockTime,
) -> Vec<GatewayEffect> {
    let call_state = state.calls.get(&call);
    if call_state.is_none_or(|call| call.idempotency == CallIdempotency::NonIdempotent) {
        return Vec::new();
    }
    let step = CallStep::Discard;
    let mut effects = vec![GatewayEffect::Step { call, step }];
    effects.extend(remove_call(state, call, now));
    effects
}

/// Records the outcome of a non-idempotent call whose caller already got a
/// response at its deadline.
fn complete_late(
    state: &mut GatewayState,
    call: CallId,
    end: AttemptEnd,
    now: ClockTime,
) -> Vec<GatewayEffect> {
    let effects = match end {
        AttemptEnd::Recorded(response) => {
            let finished = FinishedCall::Answered(response);
            state.ledger.finish(call, finished, now)
        }
        AttemptEnd::Lost => state.ledger.finish(call, FinishedCall::Unknown, now),
        // A once-only call has one attempt at a time, and one that may have run is its last.
        AttemptEnd::NotSent(proof) => state.ledger.withdraw(call, proof, now),
        AttemptEnd::Answered => Vec::new(),
    };
    ledger_effects::apply(state, effects, now)
}

fn record_outcome(
    state: &mut GatewayState,
    call: CallId,
    finished: FinishedCall,
    now: ClockTime,
) -> Vec<GatewayEffect> {
    if let Some(call_state) = state.calls.get_mut(&call) {
        call_state.progress = CallProgress::Recording;
    }
    let effects = state.ledger.finish(call, finished, now);
    ledger_effects::apply(state, effects, now)
}

/// Sends a call that was not run to another target. This is safe for
/// non-idempotent calls too.
fn try_next_target(state: &mut GatewayState, call: CallId, now: ClockTime) -> Vec<GatewayEffect> {
    let Some(call_state) = state.calls.get(&call) else {
        return Vec::new();
    };
    if !call_state.open_attempts().is_empty() {
        holds::update_hold(state, call, now);
        return Vec::new();
    }
    if !call_state.is_in_time(now) {
        return refuse_without_target(state, call, now);
    }
    dispatch(state, call, now)
}

/// Retries an idempotent call whose response was lost, within the retry budget, unless
/// another of its attempts is open.
fn retry(state: &mut GatewayState, call: CallId, now: ClockTime) -> Vec<GatewayEffect> {
    let Some(call_state) = state.calls.get(&call) else {
        return Vec::new();
    };
    if !call_state.open_attempts().is_empty() {
        holds::update_hold(state, call, now);
        return Vec::new();
    }
    if call_state.is_in_time(now) && claim_attempt(state, call, now) {
        return dispatch(state, call, now);
    }
    let run = RunState::Unknown;
    let mut effects = vec![refuse(call, RefusalCause::EndpointLost, run, None)];
    effects.extend(remove_call(state, call, now));
    effects
}

/// Claims a further attempt of an idempotent call from the retry budget.
///
/// A stream that had started fails over once regardless of the budget: the loss
/// of a group ends all its streams at once, and their retries are no more than
/// the streams that were running.
pub(super) fn claim_attempt(state: &mut GatewayState, call: CallId, now: ClockTime) -> bool {
    let Some(call_state) = state.calls.get(&call) else {
        return false;
    };
    let Some(claim) = IdempotentCall::new(call, call_state.idempotency) else {
        return false;
    };
    let is_unbudgeted_failover =
        call_state.response_started && call_state.last_attempt <= UNBUDGETED_ATTEMPTS;
    let service = call_state.arrival.service.clone();
    let outcome = claim_retry(&mut state.budget, &service, claim, now);
    is_unbudgeted_failover || matches!(outcome, RetryOutcome::Granted(_))
}

/// Removes an attempt and gives its slot back; a failed one excludes its target.
pub(super) fn release_attempt(
    state: &mut GatewayState,
    call: CallId,
    attempt: AttemptNumber,
    has_failed: bool,
) {
    let Some(call_state) = state.calls.get_mut(&call) else {
        return;
    };
    let Some(attempt) = call_state.remove_attempt(attempt) else {
        return;
    };
    if has_failed {
        call_state.failed_targets.push(attempt.target.clone());
    }
    let service = call_state.arrival.service.clone();
    routing::commands::finish_attempt(state.route_mut(&service), call, &attempt.target);
}

pub(super) fn measure(call: &CallState, measure: &'static str, now: ClockTime) -> GatewayEffect {
    GatewayEffect::Measure(CallMeasure {
        workspace: call.workspace.clone(),
        service: call.arrival.service.clone(),
        measure,
        duration: now.since(call.arrived_at),
    })
}
