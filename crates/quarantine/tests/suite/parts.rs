//! Which parts of prompts are quarantined after which crashes and answers.

use base::prelude::*;
use quarantine::ServerCrash;
use quarantine::commands::{expire, record_answer, record_crash, record_whole_answer, start_call};
use quarantine::queries::{is_call_blocked, may_resend};

use crate::support::{
    COMMON, COMPANION, DEADLY, SECOND, answer, at, crash, is_rejected, is_rejected_at,
    is_request_rejected, new_state, state_after_crashes, suspects,
};

#[test]
fn a_part_is_quarantined_after_several_separate_crashes_of_different_requests() {
    // Crashes as (own part, crash, milliseconds), and whether the part is quarantined.
    type Case<'a> = (&'a str, &'a [(u64, u64, u64)], bool);
    let cases: [Case; 6] = [
        ("one crash", &[(10, 1, 0)], false),
        ("two crashes", &[(10, 1, 0), (11, 2, 500)], false),
        (
            "three crashes",
            &[(10, 1, 0), (11, 2, 500), (12, 3, 1_000)],
            true,
        ),
        (
            "one request, sent three times",
            &[(10, 1, 0), (10, 2, 500), (10, 3, 1_000)],
            false,
        ),
        (
            "three requests at one server",
            &[(10, 1, 0), (11, 1, 0), (12, 1, 0)],
            false,
        ),
        (
            "three servers that fail together",
            &[(10, 1, 0), (11, 2, 100), (12, 3, 200)],
            false,
        ),
    ];
    for (name, crashes, expected) in cases {
        let mut state = new_state();
        for (own, id, millis) in crashes {
            crash(&mut state, &[DEADLY], *own, *id, *millis);
        }
        assert_eq!(is_rejected(&state, &[DEADLY]), expected, "{name}");
    }
}

#[test]
fn requests_that_share_only_sound_parts_are_not_rejected() {
    let state = state_after_crashes();
    assert!(is_rejected(&state, &[COMMON, DEADLY]));
    assert!(is_rejected(&state, &[DEADLY]));
    assert!(!is_rejected(&state, &[COMMON]));
}

#[test]
fn innocent_crashes_quarantine_no_part_that_is_answered_in_between() {
    let mut state = new_state();
    for index in 0..20 {
        let now = index * SECOND;
        for own in 0..5 {
            crash(
                &mut state,
                &[COMMON, 20 + own],
                100 * index + own,
                index,
                now,
            );
            answer(&mut state, &[COMMON, 20 + own], 5_000 + own, now + 900);
        }
    }
    assert_eq!(state.verdicts(), []);
}

#[test]
fn parts_of_the_same_crashes_are_rejected_only_together_until_one_is_answered() {
    let mut state = new_state();
    for index in 0..3 {
        crash(
            &mut state,
            &[COMPANION, DEADLY],
            10 + index,
            index,
            index * SECOND,
        );
    }
    assert!(is_rejected(&state, &[COMPANION, DEADLY]));
    assert!(!is_rejected(&state, &[COMPANION]), "it may be sound");
    answer(&mut state, &[COMPANION], 50, 3 * SECOND);
    assert!(is_rejected(&state, &[DEADLY]));
    assert!(!is_rejected(&state, &[COMPANION]));
}

#[test]
fn a_bystander_of_one_more_crash_is_not_quarantined_in_place_of_the_cause() {
    let mut state = new_state();
    for index in 0..3 {
        crash(
            &mut state,
            &[COMPANION, DEADLY],
            10 + index,
            index,
            index * SECOND,
        );
    }
    crash(&mut state, &[COMPANION], 20, 7, 4 * SECOND);
    assert!(!is_rejected(&state, &[COMPANION]));
    assert!(is_rejected(&state, &[COMPANION, DEADLY]));
}

#[test]
fn a_sound_part_is_not_quarantined_in_place_of_one_that_a_single_request_has_brought() {
    let mut state = new_state();
    for index in 0..4 {
        let now = index * SECOND;
        // The same request each time, and another one that waited at the same server.
        crash(&mut state, &[COMPANION, DEADLY], 10, index, now);
        crash(&mut state, &[COMPANION], 5, index, now);
    }
    assert!(!is_rejected(&state, &[COMPANION]));
    assert!(is_request_rejected(&state, &[COMPANION, DEADLY], 10));
    crash(&mut state, &[COMPANION], 20, 7, 5 * SECOND);
    assert!(!is_rejected(&state, &[COMPANION]));
    assert!(is_request_rejected(&state, &[COMPANION, DEADLY], 10));
    for (own, id) in [(11, 8), (12, 9)] {
        crash(&mut state, &[COMPANION, DEADLY], own, id, id * SECOND);
    }
    assert!(!is_rejected(&state, &[COMPANION]));
    assert!(is_rejected(&state, &[COMPANION, DEADLY]), "other requests");
}

#[test]
fn a_part_of_many_crashes_is_quarantined_without_delay() {
    let mut state = new_state();
    for index in 0..5 {
        crash(&mut state, &[DEADLY], 10 + index, index, index * 250);
    }
    assert!(is_rejected_at(&state, &[DEADLY], 1_000));
}

#[test]
fn a_quarantine_ends_a_minute_after_the_last_crash() {
    let state = state_after_crashes();
    assert!(is_rejected_at(&state, &[DEADLY], 61 * SECOND));
    assert!(!is_rejected_at(&state, &[DEADLY], 62 * SECOND));
}

#[test]
fn a_request_is_sent_again_after_a_crash_unless_its_parts_are_suspect() {
    let mut state = new_state();
    let call = CallId(10);
    start_call(&mut state, call, suspects(&[COMMON, DEADLY], 10));
    record_crash(&mut state, call, ServerCrash(1), at(0), at(0));
    assert!(
        may_resend(&state, call, ServerCrash(1), at(0)),
        "first crash"
    );

    let call = CallId(11);
    start_call(&mut state, call, suspects(&[COMMON, DEADLY], 11));
    record_crash(&mut state, call, ServerCrash(2), at(500), at(500));
    assert!(
        !may_resend(&state, call, ServerCrash(2), at(500)),
        "another request and another crash before"
    );

    let call = CallId(12);
    answer(&mut state, &[COMMON], 50, 600);
    start_call(&mut state, call, suspects(&[COMMON], 12));
    record_crash(&mut state, call, ServerCrash(3), at(700), at(700));
    assert!(
        may_resend(&state, call, ServerCrash(3), at(700)),
        "its part was answered a moment ago"
    );
}

#[test]
fn a_request_in_flight_is_given_up_once_its_part_is_quarantined_and_no_answer_has_begun() {
    let mut state = new_state();
    start_call(&mut state, CallId(40), suspects(&[DEADLY], 40));
    for index in 0..3 {
        crash(&mut state, &[DEADLY], 10 + index, index, index * SECOND);
    }
    expire(&mut state, at(4 * SECOND));
    assert!(is_call_blocked(&state, CallId(40)));
    record_answer(&mut state, CallId(40), at(4 * SECOND));
    assert!(!is_call_blocked(&state, CallId(40)));
    assert!(
        is_rejected(&state, &[DEADLY]),
        "a server that begins to answer may still crash"
    );
    record_whole_answer(&mut state, CallId(40), at(5 * SECOND));
    assert!(
        !is_rejected(&state, &[DEADLY]),
        "the whole answer clears the part"
    );
}
