//! Requests of clients.

use base::prelude::*;
use intent::queries::pick_service;
use quarantine::CallSuspects;
use relay::{AttemptEnd, AttemptId, CallArrival, CallStep, StallCause, StallStep};

use super::quarantine::{block_call, record_crash, record_sustained_answer};
use super::reach::{
    is_stranded, is_untrusted, leave_stranded, pass_elsewhere, record_trouble, route_attempt,
};
use crate::queries::{ConfigAge, admit, config_age, may_send};
use crate::{Arrival, ArrivalOutcome, EdgeEffect, EdgeState, RejectReason};

/// Checks a request against the active configuration and chooses its first step.
pub(crate) fn arrive(state: &mut EdgeState, arrival: Arrival, now: ClockTime) -> ArrivalOutcome {
    let Some(config) = state.config.get().cloned() else {
        return ArrivalOutcome::Rejected(RejectReason::NoIntent);
    };
    if !may_send(state, now) {
        return ArrivalOutcome::Rejected(RejectReason::UnknownEvacuations);
    }
    let age = config_age(state, now);
    let (route, workspace) = match admit(&config, &arrival) {
        _ if age == ConfigAge::Outdated => {
            return ArrivalOutcome::Rejected(RejectReason::OutdatedConfig);
        }
        Ok(admitted) => admitted,
        // The newer version may allow the request.
        Err(_) if age > ConfigAge::Newest => {
            return ArrivalOutcome::Rejected(RejectReason::OutdatedConfig);
        }
        Err(reason) => return ArrivalOutcome::Rejected(reason),
    };
    if workspace.is_some_and(|workspace| !workspace.can_be_sent) {
        return ArrivalOutcome::Rejected(RejectReason::UnsendableWorkspace);
    }
    state.random_state = state
        .random_state
        .wrapping_mul(6_364_136_223_846_793_005)
        .wrapping_add(1);
    let suspects = CallSuspects {
        parts: arrival.prompt,
        digest: arrival
            .digest
            .of_workspace(workspace.map(|workspace| &workspace.name)),
    };
    if let Some(retry_after) = block_call(state, arrival.call, &arrival.id, suspects, now) {
        return ArrivalOutcome::Rejected(RejectReason::Quarantined { retry_after });
    }
    let Some(service) = pick_service(route, state.random_state >> 33) else {
        return ArrivalOutcome::Rejected(RejectReason::NoRoute);
    };
    let timeout = now + route.timeout;
    let deadline = arrival
        .client_deadline
        .map_or(timeout, |client| client.min(timeout));
    let step = relay::commands::arrive(
        &mut state.relay,
        CallArrival {
            call: arrival.call,
            host: arrival.host,
            path: arrival.path,
            route: route.clone(),
            service: service.clone(),
            model: arrival.model,
            workspace: workspace.map(|workspace| workspace.name.clone()),
            tokens: arrival.tokens,
            is_resumed: arrival.is_resumed,
            priority: workspace
                .and_then(|workspace| workspace.priority)
                .unwrap_or(route.priority),
            deadline,
            client_deadline: arrival.client_deadline,
        },
        now,
    );
    record_refusal(state, arrival.call, &step, now);
    let step = route_attempt(state, step, now);
    ArrivalOutcome::Accepted {
        version: config.version,
        route: route.clone(),
        workspace: workspace.map(|workspace| workspace.name.clone()),
        deadline,
        step,
    }
}

/// Records the end of an attempt and returns the next step of the request.
pub(crate) fn end_attempt(
    state: &mut EdgeState,
    attempt: AttemptId,
    end: AttemptEnd,
    now: ClockTime,
) -> CallStep {
    if matches!(end, AttemptEnd::NotPassedOn(_))
        && let Some(step) = pass_elsewhere(state, attempt, now)
    {
        return step;
    }
    let target = relay::queries::target_of(&state.relay, attempt).cloned();
    let is_direct = !state.passed.contains_key(&attempt);
    if let Some(server) = target.as_ref().filter(|_| is_direct && is_unanswered(end)) {
        record_trouble(state, server, now);
    }
    let is_group_lost = matches!(end, AttemptEnd::Misdirected(_) | AttemptEnd::GroupBroken(_));
    if let Some(head) = target.filter(|_| is_group_lost) {
        report_silent_head(state, head, now);
    }
    let is_crash_suspect = record_crash(state, attempt, end, now);
    if quarantine::queries::is_call_blocked(&state.quarantine, attempt.call) {
        return relay::commands::abort_call(&mut state.relay, attempt, end, now);
    }
    if is_crash_suspect || matches!(end, AttemptEnd::Quarantined(_)) {
        return relay::commands::give_up(&mut state.relay, attempt, end, now);
    }
    let step = relay::commands::end_attempt(&mut state.relay, attempt, end, now);
    record_refusal(state, attempt.call, &step, now);
    route_attempt(state, step, now)
}

/// Records a refusal as part of the demand.
fn record_refusal(state: &mut EdgeState, call: CallId, step: &CallStep, now: ClockTime) {
    if matches!(step, CallStep::Refuse(_)) {
        relay::commands::record_refusal(&mut state.relay, call, now);
    }
}

/// Whether an attempt ended without a response.
fn is_unanswered(end: AttemptEnd) -> bool {
    matches!(
        end,
        AttemptEnd::NotSent(_) | AttemptEnd::Lost | AttemptEnd::Cut | AttemptEnd::Stalled
    )
}

/// Decides whether an attempt without progress goes on alone, and reports its head to the
/// owner of the groups if it is silent.
pub(crate) fn check_stall(
    state: &mut EdgeState,
    attempt: AttemptId,
    is_answering: bool,
    now: ClockTime,
) -> StallStep {
    if let Some(head) = relay::commands::silent_target(&state.relay, attempt, now) {
        if !state.passed.contains_key(&attempt) {
            record_trouble(state, &head, now);
        }
        relay::commands::suspect_target(&mut state.relay, &head, now);
        report_silent_head(state, head, now);
    }
    if quarantine::queries::is_call_blocked(&state.quarantine, attempt.call) {
        return StallStep::Abort(StallCause::Quarantined);
    }
    if is_stranded(state, attempt) {
        return leave_stranded(state, attempt, is_answering, now);
    }
    let silent = relay::queries::target_of(&state.relay, attempt).cloned();
    let step = relay::commands::check_stall(&mut state.relay, attempt, now);
    let is_silence = matches!(
        step,
        StallStep::Move(StallCause::Silent | StallCause::NotBegun, _)
    );
    if let Some(server) = silent.filter(|_| is_silence && !state.passed.contains_key(&attempt)) {
        record_trouble(state, &server, now);
    }
    match step {
        StallStep::Move(cause, order) => match route_attempt(state, CallStep::Send(*order), now) {
            CallStep::Send(order) => StallStep::Move(cause, Box::new(order)),
            _ => unreachable!("an order stays an order"),
        },
        step => step,
    }
}

/// Makes the owner of the groups probe a head's members at once.
fn report_silent_head(state: &mut EdgeState, head: HostName, now: ClockTime) {
    if is_untrusted(state, now) {
        return;
    }
    if state.is_owner || state.is_prober {
        replicas::commands::probe_group(&mut state.planner, &head, now);
        state.needs_plan = true;
    } else if state.silent_heads.insert(head) {
        state.digest_due = now;
    }
}

/// Records the end of an attempt whose request can't be sent again.
pub(crate) fn record_broken_attempt(
    state: &mut EdgeState,
    attempt: AttemptId,
    end: AttemptEnd,
    now: ClockTime,
) {
    let target = relay::queries::target_of(&state.relay, attempt).cloned();
    let is_direct = !state.passed.contains_key(&attempt);
    if let Some(server) = target.filter(|_| is_direct && is_unanswered(end)) {
        record_trouble(state, &server, now);
    }
    record_crash(state, attempt, end, now);
}

/// Records that complete events of a response arrived.
pub(crate) fn record_progress(
    state: &mut EdgeState,
    attempt: AttemptId,
    now: ClockTime,
) -> Vec<EdgeEffect> {
    relay::commands::record_progress(&mut state.relay, attempt, now);
    record_sustained_answer(state, attempt.call, now)
}
