//! Detection of stalled and suspect targets.

use base::prelude::*;

use limits::queries::has_retry;

use crate::queries::choose_target;
use crate::state::CallState;
use crate::{Lane, RelayState, StallCause, StallStep};

/// Decides whether a request keeps waiting for a target that sends it no data.
///
/// A target that still sends data for other streams is not stalled. A request leaves a group that
/// has ended or is closing as soon as another target takes it: its head may still finish it, so
/// without another target leaving it would cut it. That holds for begun streams at silent heads too.
/// A request that may not be sent again always waits.
pub fn check_stall(state: &RelayState, call: CallId, now: ClockTime) -> StallStep {
    let settings = &state.settings;
    let wait = StallStep::Wait {
        until: now + settings.check_interval,
    };
    let Some(entry) = state.calls.get(&call) else {
        return wait;
    };
    let Some(id) = &entry.target else {
        return wait;
    };
    let route = &entry.arrival.route;
    if !route.kind.is_repeatable() || entry.runs + 1 >= route.attempts {
        return wait;
    }
    let is_same_group = state
        .targets
        .get(id)
        .is_some_and(|target| target.epoch == entry.epoch);
    if !is_same_group {
        return match can_move(state, entry, now) {
            true => StallStep::Abort(StallCause::GroupChanged),
            false => wait,
        };
    }
    let load = state.loads.get(id);
    let is_suspect = load.is_some_and(|load| load.suspect_until > now);
    if is_queued(entry) && !is_suspect {
        return wait;
    }
    let limit = match (route.kind.is_stream(), entry.has_begun) {
        (true, true) => settings.stream_stall_timeout,
        (true, false) => settings.queued_stall_timeout,
        (false, _) => route.objective.mul_f64(settings.plain_stall_fraction),
    };
    let received_at = load.and_then(|load| load.received_at);
    let since = match received_at {
        Some(received_at) if route.kind.is_stream() => received_at.max(entry.sent_at),
        _ => entry.sent_at,
    };
    if now.since(since) >= limit {
        match entry.has_begun {
            false => StallStep::Abort(StallCause::NotBegun),
            true if can_move(state, entry, now) => StallStep::Abort(StallCause::Silent),
            true => wait,
        }
    } else {
        let until = (since + limit).max(now + Duration::from_millis(1));
        StallStep::Wait {
            until: until.min(now + settings.check_interval),
        }
    }
}

/// Whether another target would take a request now, within the retry budget.
fn can_move(state: &RelayState, call: &CallState, now: ClockTime) -> bool {
    has_retry(&state.budget, &call.arrival.service, now) && choose_target(state, call, now).is_ok()
}

/// Whether a request is queued in the slow lane, where silence is normal.
fn is_queued(call: &CallState) -> bool {
    call.arrival.route.kind.is_stream() && call.lane == Lane::Slow && !call.has_begun
}

/// Target of a request if it is silent for long enough to be suspect.
///
/// A running stream gets data with every pass of its engine. A request without a
/// first event may still be queued, so its limit is longer.
pub fn silent_target(state: &RelayState, call: CallId, now: ClockTime) -> Option<HostName> {
    let entry = state.calls.get(&call)?;
    let id = entry.target.as_ref()?;
    if !entry.arrival.route.kind.is_stream() || is_queued(entry) {
        return None;
    }
    let received_at = state.loads.get(id)?.received_at;
    let limit = if entry.has_begun {
        state.settings.stream_suspect_timeout
    } else {
        state.settings.first_event_suspect_timeout
    };
    let since = received_at.map_or(entry.sent_at, |received_at| received_at.max(entry.sent_at));
    (now.since(since) >= limit).then(|| id.clone())
}
