//! Detection of stalled and suspect targets.

use base::prelude::*;

use super::attempts::send_beside;
use crate::state::{CallState, OpenAttempt};
use crate::{AttemptId, Lane, RelayState, StallCause, StallStep};

/// Decides whether a request keeps waiting for a target that sends it no data.
///
/// A target that still sends data for other streams is not stalled. A request leaves a silent
/// target, and a group that has ended or is closing, as soon as another target takes it. Until
/// one of the two makes progress both attempts stay open, as the silent target may go on.
/// A request that may not be sent again always waits.
pub fn check_stall(state: &mut RelayState, attempt: AttemptId, now: ClockTime) -> StallStep {
    let wait = StallStep::Wait {
        until: now + state.settings.check_interval,
    };
    match stall_cause(state, attempt, now) {
        Ok(cause) => move_call(state, attempt, cause, now).unwrap_or(wait),
        Err(until) => StallStep::Wait { until },
    }
}

/// Sends a request to another target beside the one that it waits for; `None` if that is not
/// possible now.
pub fn move_call(
    state: &mut RelayState,
    attempt: AttemptId,
    cause: StallCause,
    now: ClockTime,
) -> Option<StallStep> {
    let entry = state.calls.get(&attempt.call)?;
    if !may_be_moved(entry, attempt) {
        return None;
    }
    let is_silence = matches!(cause, StallCause::Silent | StallCause::NotBegun);
    if is_silence {
        // A suspect target is as silent as the present one, and would only use up a retry.
        let suspects = suspect_targets(state, now);
        let entry = state.calls.get_mut(&attempt.call)?;
        entry.excluded = suspects;
    }
    let order = send_beside(state, attempt, now);
    if let Some(entry) = state.calls.get_mut(&attempt.call) {
        entry.excluded.clear();
    }
    let order = order?;
    Some(StallStep::Move(cause, Box::new(order)))
}

/// Targets whose streams are silent.
fn suspect_targets(state: &RelayState, now: ClockTime) -> Vec<HostName> {
    let suspects = state.loads.iter();
    let suspects = suspects.filter(|(_, load)| load.suspect_until > now);
    suspects.map(|(id, _)| id.clone()).collect()
}

/// Whether a request may be sent to another target while its latest attempt is open.
fn may_be_moved(call: &CallState, attempt: AttemptId) -> bool {
    let latest = call.open.last();
    let is_latest = latest.is_some_and(|open| open.number == attempt.number);
    is_latest && call.is_repeatable() && call.has_attempts_left()
}

/// Why a request should leave its target; the error is the instant of the next check.
fn stall_cause(
    state: &RelayState,
    attempt: AttemptId,
    now: ClockTime,
) -> Result<StallCause, ClockTime> {
    let settings = &state.settings;
    let next_check = now + settings.check_interval;
    let entry = state.calls.get(&attempt.call).ok_or(next_check)?;
    let open = entry.attempt(attempt.number).ok_or(next_check)?;
    if !may_be_moved(entry, attempt) {
        return Err(next_check);
    }
    let target = state.targets.get(&open.target);
    if target.is_none_or(|target| target.epoch != open.epoch) {
        return Ok(StallCause::GroupChanged);
    }
    let load = state.loads.get(&open.target);
    let is_suspect = load.is_some_and(|load| load.suspect_until > now);
    if is_queued(entry, open) && !is_suspect {
        return Err(next_check);
    }
    let route = &entry.arrival.route;
    let limit = match (route.kind.is_stream(), open.has_begun) {
        (true, true) => settings.stream_stall_timeout,
        (true, false) => settings.queued_stall_timeout,
        (false, _) => route.objective.mul_f64(settings.plain_stall_fraction),
    };
    let received_at = load.and_then(|load| load.received_at);
    let since = match received_at {
        Some(received_at) if route.kind.is_stream() => received_at.max(open.sent_at),
        _ => open.sent_at,
    };
    if now.since(since) < limit {
        let until = (since + limit).max(now + Duration::from_millis(1));
        return Err(until.min(next_check));
    }
    match open.has_begun {
        true => Ok(StallCause::Silent),
        false => Ok(StallCause::NotBegun),
    }
}

/// Whether a request is queued in the slow lane, where silence is normal.
fn is_queued(call: &CallState, open: &OpenAttempt) -> bool {
    call.arrival.route.kind.is_stream() && open.lane == Lane::Slow && !open.has_begun
}

/// Target of a request if it is silent for long enough to be suspect.
///
/// A running stream gets data with every pass of its engine. A request without a
/// first event may still be queued, so its limit is longer.
pub fn silent_target(state: &RelayState, attempt: AttemptId, now: ClockTime) -> Option<HostName> {
    let entry = state.calls.get(&attempt.call)?;
    let open = entry.attempt(attempt.number)?;
    if !entry.arrival.route.kind.is_stream() || is_queued(entry, open) {
        return None;
    }
    let received_at = state.loads.get(&open.target)?.received_at;
    let limit = if open.has_begun {
        state.settings.stream_suspect_timeout
    } else {
        state.settings.first_event_suspect_timeout
    };
    let since = received_at.map_or(open.sent_at, |received_at| received_at.max(open.sent_at));
    (now.since(since) >= limit).then(|| open.target.clone())
}
