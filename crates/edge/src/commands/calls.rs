//! Requests from clients.

use base::prelude::*;
use intent::queries::{AccessOutcome, check_access, find_route, pick_service};
use relay::{AttemptEnd, CallArrival, CallStep, StallStep};

use crate::{Arrival, ArrivalOutcome, EdgeState, RejectReason};

/// Checks a request against the configuration in force and sends it on.
pub(crate) fn arrive(state: &mut EdgeState, arrival: Arrival, now: ClockTime) -> ArrivalOutcome {
    let Some(intent) = state.intent.get().cloned() else {
        return ArrivalOutcome::Rejected(RejectReason::NoIntent);
    };
    let Some(route) = find_route(&intent, &arrival.host, &arrival.path) else {
        return ArrivalOutcome::Rejected(RejectReason::NoRoute);
    };
    let workspace = match check_access(&intent, route, arrival.key.as_deref()) {
        AccessOutcome::Workspace(workspace) => Some(workspace),
        AccessOutcome::Public => None,
        AccessOutcome::Denied => return ArrivalOutcome::Rejected(RejectReason::Denied),
    };
    state.draws = state
        .draws
        .wrapping_mul(6_364_136_223_846_793_005)
        .wrapping_add(1);
    let Some(service) = pick_service(route, state.draws >> 33) else {
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
            route: route.clone(),
            service: service.clone(),
            model: arrival.model,
            deadline,
            client_deadline: arrival.client_deadline,
        },
        now,
    );
    ArrivalOutcome::Taken {
        version: intent.version,
        route: route.clone(),
        workspace: workspace.map(|workspace| workspace.name.clone()),
        deadline,
        step,
    }
}

/// Takes in how an attempt ended.
pub(crate) fn end_attempt(
    state: &mut EdgeState,
    call: CallId,
    end: AttemptEnd,
    now: ClockTime,
) -> CallStep {
    let place = relay::queries::target_of(&state.relay, call).cloned();
    if let (AttemptEnd::Misdirected, Some(head)) = (end, place) {
        tell_owner(state, head, now);
    }
    relay::commands::end_attempt(&mut state.relay, call, end, now)
}

/// Decides about a silent server, and tells the owner of it.
pub(crate) fn check(state: &mut EdgeState, call: CallId, now: ClockTime) -> StallStep {
    if let Some(head) = relay::commands::silent_target(&state.relay, call, now) {
        relay::commands::suspect_target(&mut state.relay, &head, now);
        tell_owner(state, head, now);
    }
    relay::commands::check_stall(&state.relay, call, now)
}

/// Lets the owner of the groups ask a head's members at once.
fn tell_owner(state: &mut EdgeState, head: HostName, now: ClockTime) {
    if state.is_owner {
        replicas::commands::probe_group(&mut state.planner, &head, now);
        state.has_news = true;
    } else if state.silent.insert(head) {
        state.digest_due = now;
    }
}

/// Notes that bytes of an answer came.
pub(crate) fn progress(state: &mut EdgeState, call: CallId, now: ClockTime) {
    relay::commands::record_progress(&mut state.relay, call, now);
}
