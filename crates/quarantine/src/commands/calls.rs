//! Requests in flight, their answers and the crashes of their servers.

use base::prelude::*;

use super::merge::{add_report, update_verdicts};
use super::own::{add_evidence, clear_for_all};
use crate::state::RunningCall;
use crate::{AnswerStage, CallSuspects, CrashReport, QuarantineState, RequestDigest, ServerCrash};

/// Remembers a request until it is finished.
pub fn start_call(state: &mut QuarantineState, call: CallId, suspects: CallSuspects) {
    insert_call(state, call, suspects, false);
}

/// Remembers a request whose client got the beginning of an answer from an earlier attempt.
pub fn start_begun_call(state: &mut QuarantineState, call: CallId, suspects: CallSuspects) {
    insert_call(state, call, suspects, true);
}

fn insert_call(state: &mut QuarantineState, call: CallId, suspects: CallSuspects, has_begun: bool) {
    let running = RunningCall {
        suspects,
        has_begun,
        attempt_begun_at: None,
        is_sustained: false,
    };
    state.calls.insert(call, running);
}

/// Forgets a request.
pub fn finish_call(state: &mut QuarantineState, call: CallId) {
    state.calls.remove(&call);
}

/// Records that a server has begun to answer a request, which clears it and its parts of crashes
/// before the beginning of an answer.
pub fn record_answer(state: &mut QuarantineState, call: CallId, now: ClockTime) {
    let Some(running) = state.calls.get_mut(&call) else {
        return;
    };
    if !std::mem::replace(&mut running.has_begun, true) {
        clear_call(state, call, AnswerStage::Begun, now);
    }
}

/// Records that events of an answer arrive; returns whether the answer is sustained from now on.
pub fn record_progress(state: &mut QuarantineState, call: CallId, now: ClockTime) -> bool {
    let sustained_answer = state.settings.sustained_answer;
    let Some(running) = state.calls.get_mut(&call) else {
        return false;
    };
    let begun_at = *running.attempt_begun_at.get_or_insert(now);
    let is_sustained = now.since(begun_at) >= sustained_answer;
    is_sustained && !std::mem::replace(&mut running.is_sustained, true)
}

/// Clears a request and its parts of crashes soon after the beginning of an answer.
pub fn record_sustained_answer(state: &mut QuarantineState, call: CallId, now: ClockTime) {
    clear_call(state, call, AnswerStage::Sustained, now);
}

/// Records that a request was answered completely, which clears it and its parts of all crashes.
pub fn record_whole_answer(state: &mut QuarantineState, call: CallId, now: ClockTime) {
    if let Some(running) = state.calls.get_mut(&call) {
        running.has_begun = true;
        clear_call(state, call, AnswerStage::Whole, now);
    }
}

/// Clears a request and its parts of crashes before a stage and the earlier ones.
fn clear_call(state: &mut QuarantineState, call: CallId, reached: AnswerStage, now: ClockTime) {
    let Some(running) = state.calls.get(&call) else {
        return;
    };
    let stages = AnswerStage::ALL
        .into_iter()
        .filter(|stage| *stage <= reached);
    let suspects: Vec<_> = stages
        .flat_map(|stage| running.suspects.before(stage))
        .collect();
    if state.answered.len() + suspects.len() > state.settings.max_answered_suspects {
        forget_old_answers(state, now);
    }
    let mut has_cleared = false;
    for suspect in suspects {
        state.answered.insert(suspect, now);
        if state.reported.contains_key(&suspect) {
            clear_for_all(state, suspect, now, now);
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

/// Reports a request whose server crashed before its answer was whole; returns the request's digest
/// and the first stage that the answer had not reached.
pub fn record_crash(
    state: &mut QuarantineState,
    call: CallId,
    crash: ServerCrash,
    sent_at: ClockTime,
    now: ClockTime,
) -> Option<(RequestDigest, AnswerStage)> {
    let running = state.calls.get_mut(&call)?;
    running.attempt_begun_at = None;
    let missed = match (running.has_begun, std::mem::take(&mut running.is_sustained)) {
        (false, _) => AnswerStage::Begun,
        (true, false) => AnswerStage::Sustained,
        (true, true) => AnswerStage::Whole,
    };
    let suspects = running.suspects.clone();
    for stage in AnswerStage::ALL
        .into_iter()
        .filter(|stage| *stage >= missed)
    {
        for suspect in suspects.before(stage) {
            let report = CrashReport {
                suspect,
                stage,
                crash,
                request: suspects.digest,
                sent_at,
                seen_at: now,
            };
            if add_report(state, report, now) {
                state.expiry_due = state.expiry_due.min(now + state.settings.resend_duration);
                add_evidence(&state.settings, &mut state.own_reports, report, now);
            }
        }
    }
    update_verdicts(state, now);
    Some((suspects.digest, missed))
}
