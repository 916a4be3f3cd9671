//! Helpers that play requests, crashes and answers.

use base::prelude::*;
use quarantine::commands::{expire, finish_call, record_crash, record_whole_answer, start_call};
use quarantine::queries::blocking_verdict;
use quarantine::{
    CallSuspects, CrashSuspect, PromptPart, PromptParts, QuarantineSettings, QuarantineState,
    RequestDigest, ServerCrash,
};

/// Part that most requests have.
pub const COMMON: u64 = 1;
pub const DEADLY: u64 = 2;
pub const COMPANION: u64 = 3;
pub const SECOND: u64 = 1_000;

pub fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

pub fn new_state() -> QuarantineState {
    QuarantineState::new(QuarantineSettings::default())
}

pub fn suspects(shared: &[u64], own: u64) -> CallSuspects {
    CallSuspects {
        parts: PromptParts {
            shared: shared.iter().copied().map(PromptPart).collect(),
        },
        digest: RequestDigest(own),
    }
}

pub fn part(number: u64) -> CrashSuspect {
    CrashSuspect::Part(PromptPart(number))
}

/// Sends a request with these parts; its server crashes at once, before it answers.
pub fn crash(state: &mut QuarantineState, shared: &[u64], own: u64, crash: u64, millis: u64) {
    crash_later(state, shared, own, crash, (millis, millis));
}

/// Sends a request with these parts; its server crashes later, before it answers.
pub fn crash_later(
    state: &mut QuarantineState,
    shared: &[u64],
    own: u64,
    crash: u64,
    (sent, crashed): (u64, u64),
) {
    let call = CallId(own);
    start_call(state, call, suspects(shared, own));
    record_crash(state, call, ServerCrash(crash), at(sent), at(crashed));
    finish_call(state, call);
}

pub fn answer(state: &mut QuarantineState, shared: &[u64], own: u64, millis: u64) {
    let call = CallId(own);
    start_call(state, call, suspects(shared, own));
    record_whole_answer(state, call, at(millis));
    finish_call(state, call);
}

/// Whether a request with these parts is rejected ten seconds after the start.
pub fn is_rejected(state: &QuarantineState, shared: &[u64]) -> bool {
    is_rejected_at(state, shared, 10 * SECOND)
}

pub fn is_rejected_at(state: &QuarantineState, shared: &[u64], millis: u64) -> bool {
    let mut state = state.clone();
    expire(&mut state, at(millis));
    blocking_verdict(&state, &suspects(shared, 99)).is_some()
}

/// Whether one request is rejected, with what is known at the last change.
pub fn is_request_rejected(state: &QuarantineState, shared: &[u64], own: u64) -> bool {
    blocking_verdict(state, &suspects(shared, own)).is_some()
}

/// Three crashes of requests with a common and a deadly part, between which other requests with
/// the common part are answered.
pub fn state_after_crashes() -> QuarantineState {
    let mut state = new_state();
    for index in 0..3 {
        let now = index * SECOND;
        crash(&mut state, &[COMMON, DEADLY], 10 + index, index, now);
        answer(&mut state, &[COMMON], 50 + index, now + 100);
    }
    state
}
