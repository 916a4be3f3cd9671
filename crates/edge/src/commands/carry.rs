//! Attempts that this node carries for others, which reach no server.

use base::prelude::*;
use reach::queries::is_cut_off;

use super::reach::record_trouble;
use crate::queries::{is_once_only, may_send};
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
    state.carried.insert(request.call, request);
    PassDecision::Send {
        address,
        is_once_only,
    }
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
