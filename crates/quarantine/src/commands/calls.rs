//! Requests in flight, their answers and the crashes of their servers.

use base::prelude::*;

use super::merge::{add_report, clear_suspect, update_verdicts};
use crate::state::RunningCall;
use crate::{CallSuspects, CrashReport, QuarantineState, RequestDigest, ServerCrash};

/// Remembers a request until it is finished.
pub fn start_call(state: &mut QuarantineState, call: CallId, suspects: CallSuspects) {
    let running = RunningCall {
        suspects,
        has_begun: false,
    };
    state.calls.insert(call, running);
}

/// Forgets a request.
pub fn finish_call(state: &mut QuarantineState, call: CallId) {
    state.calls.remove(&call);
}

/// Records that a server has begun to answer a request, which clears it and its parts.
pub fn record_answer(state: &mut QuarantineState, call: CallId, now: ClockTime) {
    let Some(running) = state.calls.get_mut(&call) else {
        return;
    };
    if std::mem::replace(&mut running.has_begun, true) {
        return;
    }
    let suspects: Vec<_> = running.suspects.iter().collect();
    if state.answered.len() + suspects.len() > state.settings.max_answered_suspects {
        forget_old_answers(state, now);
    }
    let mut has_cleared = false;
    for suspect in suspects {
        state.answered.insert(suspect, now);
        if state.reported.contains_key(&suspect) {
            clear_suspect(state, suspect, now);
            has_cleared = true;
        }
    }
    if has_cleared {
        update_verdicts(state, now);
    }
}

/// Forgets answers that no longer clear new reports, or all if there are too many.
fn forget_old_answers(state: &mut QuarantineState, now: ClockTime) {
    let retention = state.settings.recent_answer;
    state.answered.retain(|_, at| now.since(*at) < retention);
    if state.answered.len() >= state.settings.max_answered_suspects {
        state.answered.clear();
    }
}

/// Reports a request whose server crashed before it began to answer; returns the request's
/// digest if it did so.
pub fn record_crash(
    state: &mut QuarantineState,
    call: CallId,
    crash: ServerCrash,
    sent_at: ClockTime,
    now: ClockTime,
) -> Option<RequestDigest> {
    let running = state.calls.get(&call).filter(|call| !call.has_begun)?;
    let suspects = running.suspects.clone();
    for suspect in suspects.iter() {
        let report = CrashReport {
            suspect,
            crash,
            request: suspects.digest,
            sent_at,
            seen_at: now,
        };
        let has_room = state.own_reports.len() < state.settings.max_reported_suspects;
        if add_report(state, report) && has_room {
            let resend_until = now + state.settings.resend_duration;
            state.own_reports.push((report, resend_until));
        }
    }
    update_verdicts(state, now);
    Some(suspects.digest)
}
