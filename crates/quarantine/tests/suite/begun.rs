//! Crashes of servers that had begun to answer.
//!
//! Guards against a failure in which the first event of an answer cleared a part, so that one that
//! crashes servers just after that event was never quarantined.

use base::prelude::*;
use quarantine::commands::{
    expire, finish_call, record_answer, record_crash, record_progress, record_sustained_answer,
    record_whole_answer, start_call,
};
use quarantine::queries::{may_resend, watched_evidence};
use quarantine::{QuarantineState, ServerCrash};

use crate::support::{
    COMMON, COMPANION, DEADLY, SECOND, at, is_rejected_at, is_request_rejected, new_state, suspects,
};

/// How far an answer comes, in milliseconds after its first event; `None` without an event.
type Streamed = Option<u64>;

/// Sends a request, whose server streams events until it crashes.
fn crash_within(state: &mut QuarantineState, shared: &[u64], own: u64, id: u64, until: Streamed) {
    let call = CallId(own);
    let sent_at = at(id * SECOND);
    start_call(state, call, suspects(shared, own));
    stream(state, call, sent_at, until);
    let crashed_at = sent_at + Duration::from_millis(until.unwrap_or_default());
    record_crash(state, call, ServerCrash(id), sent_at, crashed_at);
    finish_call(state, call);
}

fn stream(state: &mut QuarantineState, call: CallId, begun_at: ClockTime, until: Streamed) {
    let Some(until) = until else {
        return;
    };
    record_answer(state, call, begun_at);
    for after in (0..=until).step_by(50) {
        let now = begun_at + Duration::from_millis(after);
        if record_progress(state, call, now) {
            record_sustained_answer(state, call, now);
        }
    }
}

/// Answers a request completely, in little time.
fn answer(state: &mut QuarantineState, shared: &[u64], own: u64, now: ClockTime) {
    let call = CallId(own);
    start_call(state, call, suspects(shared, own));
    stream(state, call, now, Some(100));
    record_whole_answer(state, call, now + Duration::from_millis(100));
    finish_call(state, call);
}

#[test]
fn a_part_that_crashes_servers_after_they_began_to_answer_is_quarantined() {
    // How far the answers come, and the crashes until the verdict.
    let cases: [(&str, &[Streamed], u64); 5] = [
        ("no event", &[None], 3),
        ("one event", &[Some(0)], 3),
        ("several events", &[Some(400)], 3),
        (
            "at times none, at times some",
            &[None, Some(0), Some(400)],
            3,
        ),
        ("seconds of events", &[Some(2_500)], 5),
    ];
    for (name, streamed, needed) in cases {
        let mut state = new_state();
        for index in 0..needed {
            assert!(!is_rejected_at(&state, &[DEADLY], index * SECOND), "{name}");
            let until = streamed[index as usize % streamed.len()];
            crash_within(&mut state, &[COMMON, DEADLY], 10 + index, index, until);
            answer(&mut state, &[COMMON], 50 + index, at(index * SECOND + 500));
        }
        let verdict_at = needed * SECOND + 3_800;
        assert!(
            is_rejected_at(&state, &[COMMON, DEADLY], verdict_at),
            "{name}"
        );
        assert!(!is_rejected_at(&state, &[COMMON], verdict_at), "{name}");
    }
}

#[test]
fn a_request_that_crashes_servers_after_they_began_to_answer_is_quarantined() {
    let mut state = new_state();
    for index in 0..3 {
        crash_within(&mut state, &[COMMON], 10, index, Some(200));
        answer(&mut state, &[COMMON], 50 + index, at(index * SECOND + 500));
    }
    expire(&mut state, at(4 * SECOND));
    assert!(is_request_rejected(&state, &[COMMON], 10));
    assert!(!is_request_rejected(&state, &[COMMON], 11));
}

#[test]
fn answers_clear_a_part_of_crashes_that_came_earlier_in_an_answer() {
    // What another request with the part gets after each crash, and whether the part stays.
    let mut cases =
        [None, Some(0), Some(1_500)].map(|until| (until, until.is_none_or(|ms| ms < 1_000)));
    cases.reverse();
    for (until, is_kept) in cases {
        let mut state = new_state();
        for index in 0..3 {
            crash_within(&mut state, &[DEADLY], 10 + index, 2 * index, Some(200));
        }
        let call = CallId(80);
        start_call(&mut state, call, suspects(&[DEADLY], 80));
        stream(&mut state, call, at(5 * SECOND), until);
        assert_eq!(
            is_rejected_at(&state, &[DEADLY], 8 * SECOND),
            is_kept,
            "{until:?}"
        );
    }
}

#[test]
fn sound_streams_that_are_cut_again_and_again_are_not_quarantined() {
    let mut state = new_state();
    for index in 0..12 {
        for own in 0..6 {
            // Some at their beginning, some after a while, each with a part of its own.
            let until = [Some(100), Some(1_400), None][(index as usize + own as usize) % 3];
            let shared = [COMMON, COMPANION, 20 + own];
            crash_within(&mut state, &shared, 100 + own, index, until);
        }
        answer(
            &mut state,
            &[COMMON, COMPANION],
            500 + index,
            at(index * SECOND + 600),
        );
    }
    expire(&mut state, at(12 * SECOND));
    let blocked =
        (0..6).filter(|own| is_request_rejected(&state, &[COMMON, COMPANION, 20 + own], 900));
    assert_eq!(blocked.count(), 0, "{:?}", state.verdicts());
}

#[test]
fn a_stream_goes_on_at_other_servers_until_it_is_quarantined() {
    let mut state = new_state();
    let call = CallId(10);
    start_call(&mut state, call, suspects(&[COMMON], 10));
    // Five crashes in a row, or three and the time in which answers may clear it.
    for (id, seconds, is_resent) in [(1, 1, true), (2, 2, true), (3, 3, true), (4, 5, false)] {
        let now = at(seconds * SECOND);
        expire(&mut state, now);
        stream(&mut state, call, now, Some(0));
        record_crash(&mut state, call, ServerCrash(id), now, now);
        assert_eq!(
            may_resend(&state, call, ServerCrash(id), now),
            is_resent,
            "crash {id}"
        );
    }
}

#[test]
fn a_clearance_of_a_build_that_clears_with_the_first_event_ends_no_verdict() {
    let mut state = new_state();
    for index in 0..3 {
        crash_within(&mut state, &[DEADLY], 10 + index, index, Some(0));
    }
    expire(&mut state, at(5 * SECOND));
    // A node of such a build merges the evidence and answers other requests with the part.
    let mut other = new_state();
    quarantine::commands::merge_evidence(&mut other, &watched_evidence(&state), at(5 * SECOND));
    start_call(&mut other, CallId(70), suspects(&[DEADLY], 70));
    record_answer(&mut other, CallId(70), at(6 * SECOND));
    let evidence = watched_evidence(&other);
    quarantine::commands::merge_evidence(&mut state, &evidence, at(6 * SECOND));
    assert!(is_rejected_at(&state, &[DEADLY], 7 * SECOND));
}
