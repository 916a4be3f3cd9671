//! Calls from their arrival to the order to send them.

use base::prelude::*;
use ledger::{CallKey, StartRequest};
use limits::{AdmissionOutcome, AdmissionRequest, CallIdempotency};
use routing::TargetId;
use routing::queries::{RouteQuery, choose};

use super::queue::drop_refused;
use super::{ledger as marks, queue};
use crate::call::{CallPhase, CallState};
use crate::queries::{self, Entitlement};
use crate::state::GatewayState;
use crate::{
    CallArrival, CallKind, CallRefusal, CallStep, GatewayEffect, RefusalCause, RunState, SendOrder,
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
    let ticket = make_admission_request(&arrival, &entitlement, now);
    let Entitlement {
        workspace,
        caller,
        idempotency: repeat,
        ..
    } = entitlement;
    limits::commands::record_request(&mut state.budget, &arrival.service, now);
    state.calls.insert(
        call,
        CallState {
            workspace,
            caller,
            idempotency: repeat,
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

/// Starts an admitted call: a non-idempotent one needs its start mark first.
pub(super) fn start(state: &mut GatewayState, call: CallId, now: ClockTime) -> Vec<GatewayEffect> {
    let Some(known) = state.calls.get_mut(&call) else {
        return Vec::new();
    };
    let Some(request) = mark_request(known) else {
        return dispatch(state, call, now);
    };
    known.phase = CallPhase::Marking;
    let effects = state.ledger.begin(request, now);
    marks::apply(state, effects, now)
}

fn mark_request(call: &CallState) -> Option<StartRequest> {
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

/// Sends a call to the best target that has not failed it.
pub(super) fn dispatch(
    state: &mut GatewayState,
    call: CallId,
    now: ClockTime,
) -> Vec<GatewayEffect> {
    let Some(known) = state.calls.get(&call) else {
        return Vec::new();
    };
    let marked = known.idempotency == CallIdempotency::NonIdempotent;
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
pub(super) fn give_up(
    state: &mut GatewayState,
    call: CallId,
    now: ClockTime,
) -> Vec<GatewayEffect> {
    let Some(known) = state.calls.get(&call) else {
        return Vec::new();
    };
    if known.idempotency == CallIdempotency::NonIdempotent && known.phase == CallPhase::Marking {
        let effects = state.ledger.withdraw(call, now);
        return marks::apply(state, effects, now);
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

/// Forgets a call and gives its slot to the next one.
pub(super) fn end(state: &mut GatewayState, call: CallId, now: ClockTime) -> Vec<GatewayEffect> {
    let Some(known) = state.calls.remove(&call) else {
        return Vec::new();
    };
    routing::commands::finish(state.route_of(&known.arrival.service), call);
    let change = match known.phase {
        CallPhase::Waiting => limits::commands::cancel(&mut state.admission, call, now),
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
