//! Arrival and end of requests.

use admission::commands::record_arrival;
use admission::queries::is_hopeless;
use base::prelude::*;
use exchange::RunRecord;
use intent::Route;
use limits::commands::record_request;

use super::attempts::dispatch;
use super::targets::release_attempts;
use crate::demand::UrgencyRank;
use crate::queries::admission_rank;
use crate::state::CallState;
use crate::{CallArrival, CallStep, RelayState};

/// Time that a client has waited from which it counts as one that was refused and has come back.
const MIN_RETURN_TIME: Duration = Duration::from_millis(200);

/// Adds a request and decides its first step.
pub fn arrive(state: &mut RelayState, arrival: CallArrival, now: ClockTime) -> CallStep {
    record_request(&mut state.budget, &arrival.service, now);
    let call = arrival.call;
    let elapsed = elapsed_client_time(state, &arrival, now);
    let urgency = UrgencyRank {
        priority: arrival.priority,
        is_new: elapsed < MIN_RETURN_TIME,
    };
    let pool = (arrival.service.clone(), arrival.model.clone());
    state.demand.record(pool, urgency, now);
    let objective_end = (now + arrival.route.objective).before(elapsed);
    let entry = CallState {
        is_late: is_late(state, &arrival, elapsed),
        objective_end,
        urgency,
        arrival,
        open: Vec::new(),
        last_number: 0,
        tried: Vec::new(),
        excluded: Vec::new(),
        runs: RunRecord::default(),
        rejections: 0,
        misdirections: 0,
        is_crash_suspect: false,
        is_once_only: false,
    };
    let rank = admission_rank(&entry);
    let arrival = &entry.arrival;
    let (service, model) = (arrival.service.clone(), arrival.model.clone());
    let workspace = arrival.workspace.clone();
    let (tokens, deadline_left) = (arrival.tokens, arrival.deadline.since(now));
    state.calls.insert(call, entry);
    let step = dispatch(state, call, now);
    // Afterwards, as a request that counted itself would take its own rate for too high.
    if let Some(engine) = state.engines.get_mut(&service, model.as_ref())
        && !is_hopeless(&engine.estimate, tokens, deadline_left)
    {
        record_arrival(&mut engine.rates, rank, workspace.as_ref(), now);
    }
    step
}

/// Whether a client has waited for too long to be answered within the objective.
///
/// A request that its client has just sent is never late, however long its prompt takes.
fn is_late(state: &RelayState, arrival: &CallArrival, elapsed: Duration) -> bool {
    let engine = (state.engines).get(&arrival.service, arrival.model.as_ref());
    let first_event = match engine {
        Some(engine) if elapsed >= MIN_RETURN_TIME => {
            engine.estimate.first_event(arrival.tokens, 0.0)
        }
        _ => Duration::ZERO,
    };
    elapsed + first_event >= arrival.route.objective
}

/// Records that a request was refused for want of a server that can run it in time.
pub fn record_refusal(state: &mut RelayState, call: CallId, now: ClockTime) {
    if let Some(entry) = state.calls.get(&call) {
        let pool = (entry.arrival.service.clone(), entry.arrival.model.clone());
        state.demand.record_refusal(&pool, now);
    }
}

/// Records which requests in flight a newer version of the configuration allows to run once only;
/// none allows them more again. `find_route` finds the route of a host and path in that version.
pub fn restrict_calls<'a>(
    state: &mut RelayState,
    find_route: impl Fn(&str, &str) -> Option<&'a Arc<Route>>,
) {
    for entry in state.calls.values_mut() {
        let newer = find_route(&entry.arrival.host, &entry.arrival.path);
        entry.is_once_only |= newer.is_some_and(|newer| !newer.kind.is_repeatable());
    }
}

/// Records that a version of the configuration allows a request to run once only.
pub fn restrict_call(state: &mut RelayState, call: CallId) {
    if let Some(entry) = state.calls.get_mut(&call) {
        entry.is_once_only = true;
    }
}

/// Estimated time that the client has waited before this request arrived.
fn elapsed_client_time(state: &mut RelayState, arrival: &CallArrival, now: ClockTime) -> Duration {
    let Some(deadline) = arrival.client_deadline else {
        return Duration::ZERO;
    };
    let route = state.client_timeouts.entry(arrival.route.name.clone());
    let timeouts = route.or_default();
    timeouts.record(deadline.since(now), state.refused_at, now)
}

/// Removes a request that was answered or whose client disconnected.
pub fn finish(state: &mut RelayState, call: CallId) {
    release_attempts(state, call, |_| true);
    state.calls.remove(&call);
}
