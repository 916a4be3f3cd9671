//! Attempts that this node carries for others, which reach no server.

use base::prelude::*;
use reach::queries::is_cut_off;
use relay::SentAttempt;

use super::quarantine::{block_carried, report_broken_connection};
use super::reach::record_trouble;
use crate::queries::{is_once_only, may_send};
use crate::state::CarriedAttempt;
use crate::{EdgeEffect, EdgeState, PassDecision, PassRequest};

/// Decides whether this node carries an attempt, and remembers it until it is finished.
///
/// A node that reaches no server, is stopping, or would not send a request to the server itself
/// refuses.
pub(crate) fn carry_attempt(
    state: &mut EdgeState,
    request: PassRequest,
    now: ClockTime,
) -> PassDecision {
    if is_cut_off(&state.reach) || state.stopping.is_some() || !may_send(state, now) {
        return PassDecision::Refuse;
    }
    let is_once_only = is_once_only(state, &request);
    if request.is_repeat && is_once_only {
        return PassDecision::Withhold;
    }
    let run = &request.run;
    let address = relay::queries::open_address(&state.relay, &run.server, run.incarnation, now);
    let Some(address) = address else {
        return PassDecision::Refuse;
    };
    if let Some(carried) = &request.suspects
        && block_carried(state, request.call, &request.id, carried, now)
    {
        return PassDecision::Quarantined;
    }
    let attempt = CarriedAttempt {
        sent_at: now,
        request,
    };
    state.carried.insert(attempt.request.call, attempt);
    PassDecision::Send {
        address,
        is_once_only,
    }
}

/// Reports the crash of a server that broke its connection to this node while it carried an
/// attempt; returns whether it does.
///
/// The node that took the request sees its connection to this one only, which says nothing about
/// the server.
pub(crate) fn record_carried_crash(state: &mut EdgeState, call: CallId, now: ClockTime) -> bool {
    let Some(attempt) = state.carried.get(&call).cloned() else {
        return false;
    };
    let run = &attempt.request.run;
    record_trouble(state, &run.server, now);
    let Some(carried) = &attempt.request.suspects else {
        return false;
    };
    if is_cut_off(&state.reach) {
        return false;
    }
    let sent = SentAttempt {
        target: run.server.clone(),
        incarnation: run.incarnation,
        epoch: carried.epoch,
        sent_at: attempt.sent_at,
    };
    report_broken_connection(state, call, &sent, now);
    true
}

/// Records that a request that this node passed on got no response.
pub(crate) fn record_pass_failure(
    state: &mut EdgeState,
    server: &HostName,
    now: ClockTime,
) -> Vec<EdgeEffect> {
    record_trouble(state, server, now);
    Vec::new()
}
