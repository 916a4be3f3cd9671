//! Requests that come and go.

use base::prelude::*;
use limits::commands::record_request;

use super::attempts::send_on;
use super::targets::vacate;
use crate::state::CallState;
use crate::{CallArrival, CallStep, Lane, RelayState};

/// Takes in a request and decides where it goes.
pub fn arrive(state: &mut RelayState, arrival: CallArrival, now: ClockTime) -> CallStep {
    record_request(&mut state.budget, &arrival.service, now);
    let call = arrival.call;
    let known = CallState {
        is_late: has_waited(state, &arrival, now) >= arrival.route.objective,
        arrival,
        target: None,
        lane: Lane::Fast,
        epoch: GroupEpoch::default(),
        sent_at: now,
        has_begun: false,
        tried: Vec::new(),
        runs: 0,
        rejections: 0,
    };
    state.calls.insert(call, known);
    send_on(state, call, now)
}

/// Time that a request's client has waited before, as far as that can be told.
fn has_waited(state: &mut RelayState, arrival: &CallArrival, now: ClockTime) -> Duration {
    let Some(deadline) = arrival.client_deadline else {
        return Duration::ZERO;
    };
    let route = state.patience.entry(arrival.route.name.clone());
    route.or_default().note(deadline.since(now))
}

/// Forgets a request that was answered, or whose client left.
pub fn finish(state: &mut RelayState, call: CallId) {
    vacate(state, call);
    state.calls.remove(&call);
}
