//! Servers that have gone silent.

use base::prelude::*;

use crate::state::CallState;
use crate::{Lane, RelayState, StallStep};

/// Decides whether a request waits on for a server that says nothing.
///
/// A server that still sends on other requests is only busy. One whose group
/// has ended is left at once.
pub fn check_stall(state: &RelayState, call: CallId, now: ClockTime) -> StallStep {
    let settings = &state.settings;
    let wait = StallStep::Wait {
        until: now + settings.check_period,
    };
    let Some(known) = state.calls.get(&call) else {
        return wait;
    };
    let Some(id) = &known.target else {
        return wait;
    };
    let route = &known.arrival.route;
    if !route.kind.is_repeatable() || known.runs + 1 >= route.attempts {
        return wait;
    }
    let group_stands = state
        .targets
        .get(id)
        .is_some_and(|target| target.epoch == known.epoch);
    if !group_stands {
        return StallStep::Abort;
    }
    let load = state.loads.get(id);
    let is_suspect = load.is_some_and(|load| load.suspect_until > now);
    if is_queued(known) && !is_suspect {
        return wait;
    }
    let limit = match (route.kind.is_stream(), known.has_begun) {
        (true, true) => settings.stream_silence,
        (true, false) => settings.queue_silence,
        (false, _) => route.objective.mul_f64(settings.plain_silence_part),
    };
    let heard = load.and_then(|load| load.heard_at);
    let since = match heard {
        Some(heard) if route.kind.is_stream() => heard.max(known.sent_at),
        _ => known.sent_at,
    };
    if now.since(since) >= limit {
        StallStep::Abort
    } else {
        let until = (since + limit).max(now + Duration::from_millis(1));
        StallStep::Wait {
            until: until.min(now + settings.check_period),
        }
    }
}

/// Whether a request waits for room that others leave, so that silence says nothing.
fn is_queued(call: &CallState) -> bool {
    call.arrival.route.kind.is_stream() && call.lane == Lane::Slow && !call.has_begun
}

/// Server of a request, if its silence speaks against it.
///
/// A stream that has begun brings bytes with every pass of its engine; a
/// request that has not begun may only be queued, so it says less.
pub fn silent_target(state: &RelayState, call: CallId, now: ClockTime) -> Option<HostName> {
    let known = state.calls.get(&call)?;
    let id = known.target.as_ref()?;
    if !known.arrival.route.kind.is_stream() || is_queued(known) {
        return None;
    }
    let heard = state.loads.get(id)?.heard_at;
    let limit = if known.has_begun {
        state.settings.suspect_silence
    } else {
        state.settings.suspect_wait
    };
    let since = heard.map_or(known.sent_at, |heard| heard.max(known.sent_at));
    (now.since(since) >= limit).then(|| id.clone())
}
