//! Calls from their arrival to their end.

use base::prelude::*;
use ledger::{CallVerdict, FinishedCall, LedgerEffect, MarkKey, MarkRequest, NotRunReason};
use limits::commands::claim_retry;
use limits::{
    AdmissionOutcome, CallRepeat, CallTicket, IdempotentCall, QueueChange, RefusalReason,
    RetryOutcome,
};
use routing::TargetId;
use routing::queries::{RouteQuery, choose};

use crate::call::{CallPhase, CallState};
use crate::queries::{self, Entitlement};
use crate::state::GatewayState;
use crate::{
    AttemptEnd, CallArrival, CallKind, CallMeasure, CallRefusal, CallStep, GatewayEffect,
    RefusalCause, RunState, SendOrder,
};

/// Takes in a new call.
pub fn arrive(
    state: &mut GatewayState,
    arrival: CallArrival,
    now: ClockTime,
) -> Vec<GatewayEffect> {
    let call = arrival.call;
    let entitlement = match queries::authorize(state, &arrival) {
        Ok(entitlement) => entitlement,
        Err(cause) => return vec![refuse(call, cause, RunState::NotRun, None)],
    };
    let ticket = make_ticket(&arrival, &entitlement, now);
    let Entitlement {
        workspace, repeat, ..
    } = entitlement;
    limits::commands::record_request(&mut state.budget, &arrival.service, now);
    state.calls.insert(
        call,
        CallState {
            workspace,
            repeat,
            deadline: ticket.deadline,
            arrived_at: now,
            failed: Vec::new(),
            phase: CallPhase::Waiting,
            began: false,
            may_have_run: false,
            arrival,
        },
    );
    match limits::commands::offer(&mut state.admission, ticket, now) {
        AdmissionOutcome::Admitted => start(state, call, now),
        AdmissionOutcome::Queued { displaced } => {
            displaced.map_or_else(Vec::new, |refusal| drop_refused(state, refusal))
        }
        AdmissionOutcome::Refused(refusal) => drop_refused(state, refusal),
    }
}

fn make_ticket(arrival: &CallArrival, entitlement: &Entitlement, now: ClockTime) -> CallTicket {
    let timeout = arrival.timeout.unwrap_or(entitlement.timeout);
    let cost = match &arrival.kind {
        CallKind::Model { tokens, .. } => *tokens,
        CallKind::Plain { .. } => 1,
    };
    CallTicket {
        call: arrival.call,
        workspace: entitlement.workspace.clone(),
        service: arrival.service.clone(),
        priority: arrival.priority,
        deadline: now + timeout,
        cost: cost.max(1),
    }
}

/// Starts the calls that a change of the queues admitted and refuses others.
pub fn apply_change(
    state: &mut GatewayState,
    change: QueueChange,
    now: ClockTime,
) -> Vec<GatewayEffect> {
    let mut effects = Vec::new();
    for refusal in change.refused {
        effects.extend(drop_refused(state, refusal));
    }
    for call in change.admitted {
        effects.extend(start(state, call, now));
    }
    effects
}

/// Carries out what the ledger wants.
pub fn apply_ledger(
    state: &mut GatewayState,
    wanted: Vec<LedgerEffect>,
    now: ClockTime,
) -> Vec<GatewayEffect> {
    let mut effects = Vec::new();
    for effect in wanted {
        match effect {
            LedgerEffect::Verdict { call, verdict } => {
                effects.extend(apply_verdict(state, call, verdict, now));
            }
            call => effects.push(GatewayEffect::Ledger(call)),
        }
    }
    effects
}

fn apply_verdict(
    state: &mut GatewayState,
    call: CallId,
    verdict: CallVerdict,
    now: ClockTime,
) -> Vec<GatewayEffect> {
    let step = match verdict {
        CallVerdict::Send => return dispatch(state, call, now),
        CallVerdict::Answer(answer) => CallStep::Answer(answer),
        CallVerdict::NotRun(reason) => {
            CallStep::Refuse(refusal(not_run_cause(reason), RunState::NotRun, None))
        }
        CallVerdict::StillRunning => {
            CallStep::Refuse(refusal(RefusalCause::StillRunning, RunState::Running, None))
        }
        CallVerdict::OutcomeUnknown => {
            CallStep::Refuse(refusal(RefusalCause::EndpointLost, RunState::Unknown, None))
        }
    };
    let mut effects = vec![GatewayEffect::Step { call, step }];
    effects.extend(end(state, call, now));
    effects
}

fn not_run_cause(reason: NotRunReason) -> RefusalCause {
    match reason {
        NotRunReason::StoreDown | NotRunReason::ShardFull => RefusalCause::StoreDown,
        NotRunReason::KeyReused => RefusalCause::KeyReused,
        NotRunReason::DeadlinePassed => RefusalCause::Deadline,
        NotRunReason::Withdrawn => RefusalCause::NoEndpoint,
    }
}

/// Starts an admitted call: a non-idempotent one needs its start mark first.
fn start(state: &mut GatewayState, call: CallId, now: ClockTime) -> Vec<GatewayEffect> {
    let Some(known) = state.calls.get_mut(&call) else {
        return Vec::new();
    };
    let Some(request) = mark_request(known) else {
        return dispatch(state, call, now);
    };
    known.phase = CallPhase::Marking;
    let effects = state.ledger.begin(request, now);
    apply_ledger(state, effects, now)
}

fn mark_request(call: &CallState) -> Option<MarkRequest> {
    let CallKind::Plain { digest, .. } = call.arrival.kind else {
        return None;
    };
    if call.repeat == CallRepeat::Idempotent {
        return None;
    }
    Some(MarkRequest {
        call: call.arrival.call,
        key: MarkKey {
            workspace: call.workspace.clone(),
            service: call.arrival.service.clone(),
            request: call.arrival.key.clone()?,
        },
        digest,
        deadline: call.deadline,
    })
}

/// Sends a call to the best target that has not failed it.
fn dispatch(state: &mut GatewayState, call: CallId, now: ClockTime) -> Vec<GatewayEffect> {
    let Some(known) = state.calls.get(&call) else {
        return Vec::new();
    };
    let marked = known.repeat == CallRepeat::NonIdempotent;
    if marked && !state.ledger.may_send(call, now) {
        return give_up(state, call, now);
    }
    let Some(target) = choose_target(state, known, now) else {
        return give_up(state, call, now);
    };
    let Some((address, place)) = queries::locate(state, &target) else {
        return give_up(state, call, now);
    };
    let order = SendOrder {
        address,
        place: place.clone(),
        deadline: known.deadline,
        record: marked,
    };
    let service = known.arrival.service.clone();
    routing::commands::begin(state.route_of(&service), call, &target);
    if let Some(known) = state.calls.get_mut(&call) {
        known.phase = CallPhase::Trying { target, place };
    }
    let step = CallStep::Send(order);
    vec![GatewayEffect::Step { call, step }]
}

fn choose_target(state: &GatewayState, call: &CallState, now: ClockTime) -> Option<TargetId> {
    let route = state.routes.get(&call.arrival.service)?;
    let prefix = match &call.arrival.kind {
        CallKind::Model { prefix, .. } => prefix.as_slice(),
        CallKind::Plain { .. } => &[],
    };
    let query = RouteQuery {
        call: call.arrival.call,
        prefix,
        excluded: &call.failed,
    };
    choose(route, now, &query).map(|choice| choice.target)
}

/// No target is left: nothing was sent by this attempt.
fn give_up(state: &mut GatewayState, call: CallId, now: ClockTime) -> Vec<GatewayEffect> {
    let Some(known) = state.calls.get(&call) else {
        return Vec::new();
    };
    if known.repeat == CallRepeat::NonIdempotent && known.phase == CallPhase::Marking {
        let effects = state.ledger.withdraw(call, now);
        return apply_ledger(state, effects, now);
    }
    let run = if known.may_have_run {
        RunState::Unknown
    } else {
        RunState::NotRun
    };
    let mut effects = vec![refuse(call, RefusalCause::NoEndpoint, run, None)];
    effects.extend(end(state, call, now));
    effects
}

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
        return Vec::new();
    };
    let marked = known.repeat == CallRepeat::NonIdempotent;
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
    apply_ledger(state, effects, now)
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
fn retry(state: &mut GatewayState, call: CallId, now: ClockTime) -> Vec<GatewayEffect> {
    release_target(state, call);
    let Some(known) = state.calls.get_mut(&call) else {
        return Vec::new();
    };
    known.may_have_run = true;
    let service = known.arrival.service.clone();
    let claim = IdempotentCall::new(call, known.repeat);
    let in_time = now < known.deadline || known.began;
    let granted = claim.filter(|_| in_time).is_some_and(|claim| {
        let outcome = claim_retry(&mut state.budget, &service, claim, now);
        matches!(outcome, RetryOutcome::Granted(_))
    });
    if granted {
        return dispatch(state, call, now);
    }
    let run = RunState::Unknown;
    let mut effects = vec![refuse(call, RefusalCause::EndpointLost, run, None)];
    effects.extend(end(state, call, now));
    effects
}

/// Ends waiting calls whose deadline has come.
pub fn expire(state: &mut GatewayState, now: ClockTime) -> Vec<GatewayEffect> {
    let mut effects = Vec::new();
    if limits::queries::next_deadline(&state.admission).is_some_and(|at| at <= now) {
        let change = limits::commands::expire(&mut state.admission, now);
        effects.extend(apply_change(state, change, now));
    }
    if state.ledger.next_deadline().is_some_and(|at| at <= now) {
        let wanted = state.ledger.expire(now);
        effects.extend(apply_ledger(state, wanted, now));
    }
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

/// Forgets a call and gives its slot to the next one.
fn end(state: &mut GatewayState, call: CallId, now: ClockTime) -> Vec<GatewayEffect> {
    let Some(known) = state.calls.remove(&call) else {
        return Vec::new();
    };
    routing::commands::finish(state.route_of(&known.arrival.service), call);
    let change = match known.phase {
        CallPhase::Waiting => limits::commands::cancel(&mut state.admission, call, now),
        _ => limits::commands::release(&mut state.admission, call, now),
    };
    apply_change(state, change, now)
}

fn drop_refused(state: &mut GatewayState, refused: limits::CallRefusal) -> Vec<GatewayEffect> {
    state.calls.remove(&refused.call);
    let cause = match refused.reason {
        RefusalReason::UnknownWorkspace => RefusalCause::UnknownKey,
        RefusalReason::NoCapacity => RefusalCause::NoEndpoint,
        RefusalReason::QueueFull => RefusalCause::Overloaded,
        RefusalReason::Deadline => RefusalCause::Deadline,
    };
    let retry_at = Some(refused.retry_at);
    vec![refuse(refused.call, cause, RunState::NotRun, retry_at)]
}

fn refusal(cause: RefusalCause, run: RunState, retry_at: Option<ClockTime>) -> CallRefusal {
    CallRefusal {
        cause,
        run,
        retry_at,
    }
}

fn refuse(
    call: CallId,
    cause: RefusalCause,
    run: RunState,
    retry_at: Option<ClockTime>,
) -> GatewayEffect {
    let step = CallStep::Refuse(refusal(cause, run, retry_at));
    GatewayEffect::Step { call, step }
}

fn measure(call: &CallState, measure: &'static str, now: ClockTime) -> GatewayEffect {
    GatewayEffect::Measure(CallMeasure {
        workspace: call.workspace.clone(),
        service: call.arrival.service.clone(),
        measure,
        span: now.since(call.arrived_at),
    })
}
