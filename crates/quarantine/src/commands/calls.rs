//! Requests in flight, their answers and the crashes of their servers.

use base::prelude::*;

use super::merge::{add_report, clear_part, update_verdicts};
use crate::state::CallPrompt;
use crate::{CrashReport, PromptParts, QuarantineState, ServerCrash};

/// Remembers the parts of a request until it is finished.
pub fn start_call(state: &mut QuarantineState, call: CallId, parts: PromptParts) {
    if !parts.shared.is_empty() {
        let prompt = CallPrompt {
            parts,
            has_begun: false,
        };
        state.calls.insert(call, prompt);
    }
}

/// Forgets a request.
pub fn finish_call(state: &mut QuarantineState, call: CallId) {
    state.calls.remove(&call);
}

/// Records that a server has begun to answer a request, which clears its parts.
pub fn record_answer(state: &mut QuarantineState, call: CallId, now: ClockTime) {
    let Some(prompt) = state.calls.get_mut(&call) else {
        return;
    };
    if std::mem::replace(&mut prompt.has_begun, true) {
        return;
    }
    let parts = prompt.parts.shared.clone();
    if state.answered.len() + parts.len() > state.settings.max_answered_parts {
        forget_old_answers(state, now);
    }
    let mut has_cleared = false;
    for part in parts {
        state.answered.insert(part, now);
        if state.reported.contains_key(&part) {
            clear_part(state, part, now);
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
    if state.answered.len() >= state.settings.max_answered_parts {
        state.answered.clear();
    }
}

/// Reports a request whose server crashed before it began to answer; returns whether it did so.
pub fn record_crash(
    state: &mut QuarantineState,
    call: CallId,
    crash: ServerCrash,
    now: ClockTime,
) -> bool {
    let Some(prompt) = state.calls.get(&call).filter(|prompt| !prompt.has_begun) else {
        return false;
    };
    let parts = prompt.parts.clone();
    let Some(request) = parts.own else {
        return false;
    };
    for part in parts.shared {
        let report = CrashReport {
            part,
            crash,
            request,
            seen_at: now,
        };
        let has_room = state.own_reports.len() < state.settings.max_reported_parts;
        if add_report(state, report) && has_room {
            let resend_until = now + state.settings.resend_duration;
            state.own_reports.push((report, resend_until));
        }
    }
    update_verdicts(state, now);
    true
}
