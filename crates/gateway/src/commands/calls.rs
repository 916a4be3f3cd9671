//! Calls from their arrival until the request is sent to an endpoint.

use base::prelude::*;
use exchange::RunRecord;
use ledger::{CallKey, StartRequest};
use limits::{AdmissionOutcome, AdmissionRequest, CallIdempotency};
use routing::TargetId;
use routing::queries::{RouteQuery, choose};

use super::queue::refuse_queued;
use super::{ledger as ledger_effects, queue};
use crate::call::{CallProgress, CallState, OpenAttempt};
use crate::queries::{self, Entitlement};
use crate::state::GatewayState;
use crate::{
    AttemptNumber, CallArrival, CallKind, CallRefusal, CallStep, GatewayEffect, RefusalCause,
    RunState, SendOrder,
};

/// Authorizes a received call and submits it to admission control.
pub fn receive(
    state: &mut GatewayState,
    arrival: CallArrival,
    now: ClockTime,
) -> Vec<GatewayEffect> {
    let call = arrival.call;
    let entitlement = match queries::authorize(state, &arrival, now) {
        Ok(entitlement) => entitlement,
        Err(refusal) => {
            let step = CallStep::Refuse(refusal);
            return vec![GatewayEffect::Step { call, step }];
        }
    };
    let request = make_admission_request(&arrival, &entitlement, now);
    let Entitlement {
        workspace,
        caller,
        idempotency,
        ..
    } = entitlement;
    limits::commands::record_request(&mut state.budget, &arrival.service, now);
    state.calls.insert(
        call,
        CallState {
            workspace,
            caller,
            idempotency,
            deadline: request.deadline,
            arrived_at: now,
            failed_targets: Vec::new(),
            progress: CallProgress::Queued,
            last_attempt: AttemptNumber::default(),
            response_started: false,
            runs: RunRecord::default(),
            arrival,
        },
    );
    match limits::commands::offer(&mut state.admission, request, now) {
        AdmissionOutcome::Admitted => start(state, call, now),
        AdmissionOutcome::Queued { displaced } => {
            displaced.map_or_else(Vec::new, |refusal| refuse_queued(state, refusal))
        }
        AdmissionOutcome::Refused(refusal) => refuse_queued(state, refusal),
    }
}

fn make_admission_request(
    arrival: &CallArrival,
    entitlement: &Entitlement,
    now: ClockTime,
) -> AdmissionRequest {
    let timeout = arrival.timeout.unwrap_or(entitlement.timeout);
    let cost = match &arrival.kind {
        CallKind::Model { tokens, .. } => *tokens,
        CallKind::Plain { .. } => 1,
    };
    AdmissionRequest {
        call: arrival.call,
        workspace: entitlement.workspace.clone(),
        service: arrival.service.clone(),
        priority: arrival.priority,
        deadline: now + timeout,
        cost: cost.max(1),
    }
}

/// Starts an admitted call. The start of a non-idempotent call is recorded in the
/// ledger before the call is sent.
pub(super) fn start(state: &mut GatewayState, call: CallId, now: ClockTime) -> Vec<GatewayEffect> {
    let Some(call_state) = state.calls.get_mut(&call) else {
        return Vec::new();
    };
    let Some(request) = start_request(call_state) else {
        return dispatch(state, call, now);
    };
    call_state.progress = CallProgress::Starting;
    let effects = state.ledger.begin(request, now);
    ledger_effects::apply(state, effects, now)
}

fn start_request(call: &CallState) -> Option<StartRequest> {
    let CallKind::Plain { digest, .. } = call.arrival.kind else {
        return None;
    };
    if call.idempotency == CallIdempotency::Idempotent {
        return None;
    }
    Some(StartRequest {
        call: call.arrival.call,
        key: CallKey {
            workspace: call.workspace.clone(),
            caller: call.caller.clone(),
            service: call.arrival.service.clone(),
            request: call.arrival.key.clone()?,
        },
        digest,
        deadline: call.deadline,
    })
}

/// Sends a call to the best target among those that have not failed it.
pub(super) fn dispatch(
    state: &mut GatewayState,
    call: CallId,
    now: ClockTime,
) -> Vec<GatewayEffect> {
    let Some(call_state) = state.calls.get(&call) else {
        return Vec::new();
    };
    let is_non_idempotent = call_state.idempotency == CallIdempotency::NonIdempotent;
    if is_non_idempotent && !state.ledger.may_send(call, now) {
        return refuse_without_target(state, call, now);
    }
    let Some(target) = choose_target(state, call_state, now) else {
        return refuse_without_target(state, call, now);
    };
    let effects = send_beside(state, call, target, now);
    if effects.is_empty() {
        return refuse_without_target(state, call, now);
    }
    effects
}

/// Sends a call to a target and keeps its open attempts; does nothing if the target has
/// no address.
pub(super) fn send_beside(
    state: &mut GatewayState,
    call: CallId,
    target: TargetId,
    now: ClockTime,
) -> Vec<GatewayEffect> {
    let Some((address, generation)) = queries::locate(state, &target) else {
        return Vec::new();
    };
    let Some(call_state) = state.calls.get_mut(&call) else {
        return Vec::new();
    };
    let number = call_state.last_attempt.next();
    let order = SendOrder {
        attempt: number,
        address,
        generation: generation.clone(),
        deadline: call_state.wait_deadline(now),
        record_response: call_state.idempotency == CallIdempotency::NonIdempotent,
    };
    call_state.last_attempt = number;
    call_state.add_attempt(OpenAttempt {
        number,
        target: target.clone(),
        generation,
        is_silent: false,
        is_suspended: false,
    });
    let service = call_state.arrival.service.clone();
    routing::commands::begin_beside(state.route_mut(&service), call, &target);
    let step = CallStep::Send(order);
    vec![GatewayEffect::Step { call, step }]
}

/// Best target among those that have not failed a call and don't run it.
pub(super) fn choose_target(
    state: &GatewayState,
    call: &CallState,
    now: ClockTime,
) -> Option<TargetId> {
    let route = state.routes.get(&call.arrival.service)?;
    let prefix = match &call.arrival.kind {
        CallKind::Model { prefix, .. } => prefix.as_slice(),
        CallKind::Plain { .. } => &[],
    };
    let open = call.open_attempts().iter();
    let open = open.map(|attempt| &attempt.target);
    let excluded: Vec<TargetId> = call.failed_targets.iter().chain(open).cloned().collect();
    let query = RouteQuery {
        call: call.arrival.call,
        prefix,
        excluded: &excluded,
    };
    choose(route, now, &query).map(|choice| choice.target)
}

/// Refuses a call for which no target is left.
pub(super) fn refuse_without_target(
    state: &mut GatewayState,
    call: CallId,
    now: ClockTime,
) -> Vec<GatewayEffect> {
    let Some(call_state) = state.calls.get(&call) else {
        return Vec::new();
    };
    let run = call_state.run_state();
    if call_state.idempotency == CallIdempotency::NonIdempotent
        && call_state.progress == CallProgress::Starting
        && let RunState::NotRun(proof) = run
    {
        let effects = state.ledger.withdraw(call, proof, now);
        return ledger_effects::apply(state, effects, now);
    }
    let mut effects = vec![refuse(call, RefusalCause::NoEndpoint, run, None)];
    effects.extend(remove_call(state, call, now));
    effects
}

/// Removes a call and gives its slot to queued calls.
pub(super) fn remove_call(
    state: &mut GatewayState,
    call: CallId,
    now: ClockTime,
) -> Vec<GatewayEffect> {
    let Some(call_state) = state.calls.remove(&call) else {
        return Vec::new();
    };
    state.held.remove(&call);
    routing::commands::finish(state.route_mut(&call_state.arrival.service), call);
    let change = match call_state.progress {
        CallProgress::Queued => limits::commands::cancel(&mut state.admission, call, now),
        _ => limits::commands::release(&mut state.admission, call, now),
    };
    queue::apply_change(state, change, now)
}

pub(super) fn refuse(
    call: CallId,
    cause: RefusalCause,
    run: RunState,
    retry_at: Option<ClockTime>,
) -> GatewayEffect {
    let step = CallStep::Refuse(CallRefusal {
        cause,
        run,
        retry_at,
    });
    GatewayEffect::Step { call, step }
}
