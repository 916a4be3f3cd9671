//! Outcomes of attempts: completion, retries and failover.

use base::prelude::*;
use ledger::FinishedCall;
use limits::commands::claim_retry;
use limits::{CallIdempotency, IdempotentCall, RetryOutcome};

use super::calls::{dispatch, refuse, refuse_without_target, remove_call};
use super::ledger as ledger_effects;
use crate::call::{CallProgress, CallState};
use crate::state::GatewayState;
use crate::{AttemptEnd, CallMeasure, CallStep, GatewayEffect, RefusalCause, RunState};

/// Failovers of a started stream that the retry budget doesn't limit.
const UNBUDGETED_FAILOVERS: usize = 1;

/// Records that the response has started, for the histograms and for the run
/// state of a later refusal.
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
    call_state.may_have_run = true;
    vec![measure(call_state, "first_byte", now)]
}

/// Handles the outcome of an attempt.
pub fn complete(
    state: &mut GatewayState,
    call: CallId,
    end: AttemptEnd,
    now: ClockTime,
) -> Vec<GatewayEffect> {
    let Some(call_state) = state.calls.get(&call) else {
        return complete_late(state, call, end, now);
    };
    let is_non_idempotent = call_state.idempotency == CallIdempotency::NonIdempotent;
    match end {
        AttemptEnd::Answered => {
            let mut effects = vec![measure(call_state, "whole", now)];
            effects.extend(remove_call(state, call, now));
            effects
        }
        AttemptEnd::CallerDisconnected if !is_non_idempotent => {
            let step = CallStep::Discard;
            let mut effects = vec![GatewayEffect::Step { call, step }];
            effects.extend(remove_call(state, call, now));
            effects
        }
        // A non-idempotent call goes on: the caller may repeat the request with
        // the same key from another device and must get its outcome.
        AttemptEnd::CallerDisconnected => Vec::new(),
        AttemptEnd::Recorded(response) => {
            record_outcome(state, call, FinishedCall::Answered(response), now)
        }
        AttemptEnd::NotSent => try_next_target(state, call, now),
        AttemptEnd::Lost if is_non_idempotent => {
            record_outcome(state, call, FinishedCall::Unknown, now)
        }
        AttemptEnd::Lost => retry(state, call, now),
    }
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
        AttemptEnd::NotSent => state.ledger.withdraw(call, now),
        AttemptEnd::Answered | AttemptEnd::CallerDisconnected => Vec::new(),
    };
    ledger_effects::apply(state, effects, now)
}

fn record_outcome(
    state: &mut GatewayState,
    call: CallId,
    finished: FinishedCall,
    now: ClockTime,
) -> Vec<GatewayEffect> {
    release_target(state, call);
    if let Some(call_state) = state.calls.get_mut(&call) {
        call_state.progress = CallProgress::Recording;
    }
    let effects = state.ledger.finish(call, finished, now);
    ledger_effects::apply(state, effects, now)
}

/// Sends a call that was not run to another target. This is safe for
/// non-idempotent calls too.
fn try_next_target(state: &mut GatewayState, call: CallId, now: ClockTime) -> Vec<GatewayEffect> {
    release_target(state, call);
    if let Some(call_state) = state.calls.get_mut(&call) {
        call_state.progress = CallProgress::Starting;
        if now >= call_state.deadline {
            return refuse_without_target(state, call, now);
        }
    }
    dispatch(state, call, now)
}

/// Retries an idempotent call whose response was lost, within the retry budget.
///
/// A stream that had started fails over once regardless of the budget: the loss
/// of a group ends all its streams at once, and their retries are no more than
/// the streams that were running.
fn retry(state: &mut GatewayState, call: CallId, now: ClockTime) -> Vec<GatewayEffect> {
    release_target(state, call);
    let Some(call_state) = state.calls.get_mut(&call) else {
        return Vec::new();
    };
    call_state.may_have_run = true;
    let service = call_state.arrival.service.clone();
    let claim = IdempotentCall::new(call, call_state.idempotency);
    let in_time = now < call_state.deadline || call_state.response_started;
    let is_unbudgeted_failover =
        call_state.response_started && call_state.failed_targets.len() <= UNBUDGETED_FAILOVERS;
    let granted = claim.filter(|_| in_time).is_some_and(|claim| {
        let outcome = claim_retry(&mut state.budget, &service, claim, now);
        is_unbudgeted_failover || matches!(outcome, RetryOutcome::Granted(_))
    });
    if granted {
        return dispatch(state, call, now);
    }
    let run = RunState::Unknown;
    let mut effects = vec![refuse(call, RefusalCause::EndpointLost, run, None)];
    effects.extend(remove_call(state, call, now));
    effects
}

fn release_target(state: &mut GatewayState, call: CallId) {
    let Some(call_state) = state.calls.get_mut(&call) else {
        return;
    };
    if let CallProgress::InFlight { target, .. } = &call_state.progress {
        call_state.failed_targets.push(target.clone());
    }
    let service = call_state.arrival.service.clone();
    routing::commands::finish(state.route_mut(&service), call);
}

pub(super) fn measure(call: &CallState, measure: &'static str, now: ClockTime) -> GatewayEffect {
    GatewayEffect::Measure(CallMeasure {
        workspace: call.workspace.clone(),
        service: call.arrival.service.clone(),
        measure,
        duration: now.since(call.arrived_at),
    })
}
