//! Which requests and parts are quarantined after which crashes and answers.

use base::prelude::*;
use quarantine::commands::{
    expire, finish_call, merge_evidence, record_answer, record_crash, start_call,
};
use quarantine::queries::{
    blocking_verdict, evidence_hash, fresh_evidence, is_call_blocked, may_resend, watched_evidence,
};
use quarantine::{
    CallSuspects, CrashEvidence, CrashReport, CrashSuspect, PromptPart, PromptParts,
    QuarantineSettings, QuarantineState, RequestDigest, ServerCrash, SuspectClearance,
};

/// Part that most requests have.
const COMMON: u64 = 1;
const DEADLY: u64 = 2;
const COMPANION: u64 = 3;
const SECOND: u64 = 1_000;

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

fn new_state() -> QuarantineState {
    QuarantineState::new(QuarantineSettings::default())
}

fn suspects(shared: &[u64], own: u64) -> CallSuspects {
    CallSuspects {
        parts: PromptParts {
            shared: shared.iter().copied().map(PromptPart).collect(),
        },
        digest: RequestDigest(own),
    }
}

fn part(number: u64) -> CrashSuspect {
    CrashSuspect::Part(PromptPart(number))
}

/// Sends a request with these parts; its server crashes at once, before it answers.
fn crash(state: &mut QuarantineState, shared: &[u64], own: u64, crash: u64, millis: u64) {
    crash_later(state, shared, own, crash, (millis, millis));
}

/// Sends a request with these parts; its server crashes later, before it answers.
fn crash_later(
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

fn answer(state: &mut QuarantineState, shared: &[u64], own: u64, millis: u64) {
    let call = CallId(own);
    start_call(state, call, suspects(shared, own));
    record_answer(state, call, at(millis));
    finish_call(state, call);
}

/// Whether a request with these parts is rejected ten seconds after the start.
fn is_rejected(state: &QuarantineState, shared: &[u64]) -> bool {
    is_rejected_at(state, shared, 10 * SECOND)
}

fn is_rejected_at(state: &QuarantineState, shared: &[u64], millis: u64) -> bool {
    let mut state = state.clone();
    expire(&mut state, at(millis));
    blocking_verdict(&state, &suspects(shared, 99)).is_some()
}

/// Whether one request is rejected, with what is known at the last change.
fn is_request_rejected(state: &QuarantineState, shared: &[u64], own: u64) -> bool {
    blocking_verdict(state, &suspects(shared, own)).is_some()
}

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

/// Three crashes of requests with a common and a deadly part, between which other requests with
/// the common part are answered.
fn state_after_crashes() -> QuarantineState {
    let mut state = new_state();
    for index in 0..3 {
        let now = index * SECOND;
        crash(&mut state, &[COMMON, DEADLY], 10 + index, index, now);
        answer(&mut state, &[COMMON], 50 + index, now + 100);
    }
    state
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
fn a_request_is_quarantined_after_several_separate_crashes() {
    // Crashes as (crash, milliseconds when it was sent and crashed), and the instant from which
    // the request is rejected.
    type Case<'a> = (&'a str, &'a [(u64, (u64, u64))], Option<u64>);
    let cases: [Case; 7] = [
        ("two crashes", &[(1, (0, 0)), (2, (500, 500))], None),
        (
            "three crashes",
            &[(1, (0, 0)), (2, (500, 500)), (3, (900, 900))],
            Some(1_900),
        ),
        (
            "three crashes, each a moment after the other",
            &[(1, (0, 50)), (2, (51, 120)), (3, (122, 200))],
            Some(1_200),
        ),
        (
            "one server",
            &[(1, (0, 0)), (1, (500, 500)), (1, (900, 900))],
            None,
        ),
        (
            "servers that fail together",
            &[(1, (0, 300)), (2, (10, 310)), (3, (20, 320))],
            None,
        ),
        (
            "five crashes",
            &[
                (1, (0, 0)),
                (2, (250, 250)),
                (3, (500, 500)),
                (4, (750, 750)),
                (5, (1_000, 1_000)),
            ],
            Some(1_000),
        ),
        (
            "crashes beside each other",
            &[
                (1, (0, 50)),
                (2, (10, 100)),
                (3, (60, 400)),
                (4, (70, 500)),
                (5, (450, 800)),
            ],
            Some(1_800),
        ),
    ];
    // At a plain service a request has no parts; at model servers its parts have answers.
    for shared in [&[][..], &[COMMON, DEADLY]] {
        for (name, crashes, rejected_from) in cases {
            let mut state = new_state();
            for (id, times) in crashes {
                crash_later(&mut state, shared, 10, *id, *times);
                answer(&mut state, shared, 50, times.1);
            }
            let is_rejected_at = |millis: u64| {
                let mut state = state.clone();
                expire(&mut state, at(millis));
                is_request_rejected(&state, shared, 10)
            };
            match rejected_from {
                Some(millis) => {
                    assert!(is_rejected_at(millis), "{name}");
                    assert!(!is_rejected(&state, shared), "{name}: another request");
                    assert!(!is_rejected_at(62 * SECOND), "{name}");
                }
                None => assert!(!is_rejected_at(10 * SECOND), "{name}"),
            }
            let not_before = rejected_from.filter(|millis| *millis > crashes.last().unwrap().1.1);
            if let Some(millis) = not_before {
                assert!(!is_rejected_at(millis - 1), "{name}");
            }
        }
    }
}

#[test]
fn a_verdict_is_not_postponed_by_further_crashes() {
    let mut state = new_state();
    for index in 0..11 {
        crash(&mut state, &[], 10, index, index * 100);
    }
    let is_rejected = is_request_rejected(&state, &[], 10);
    assert!(is_rejected, "a second after the first");
    // Copies at many servers first, which count once, then crash after crash.
    let mut beside = new_state();
    for index in 0..12 {
        crash_later(&mut beside, &[], 10, index, (0, 100 + index));
    }
    for index in 0..20 {
        crash(&mut beside, &[], 10, 100 + index, 200 + index * 100);
    }
    assert!(is_request_rejected(&beside, &[], 10), "after many copies");
    expire(&mut beside, at(60 * SECOND));
    let is_rejected = is_request_rejected(&beside, &[], 10);
    assert!(is_rejected, "a minute after the last");
}

#[test]
fn a_sound_request_that_is_much_asked_is_not_quarantined_while_servers_crash() {
    let mut state = new_state();
    for index in 0..20 {
        let now = index * 400;
        crash(&mut state, &[COMMON], 10, index, now);
        // Another node answers it meanwhile, and says so with a delay.
        let clearance = CrashEvidence {
            reports: Vec::new(),
            clearances: vec![SuspectClearance {
                suspect: CrashSuspect::Request(RequestDigest(10)),
                cleared_at: at(now + 5),
            }],
        };
        let mut later = state.clone();
        expire(&mut later, at(now + 390));
        assert_eq!(later.verdicts(), [], "crash {index}");
        if index >= 2 {
            merge_evidence(&mut state, &clearance, at(now + 399));
        }
        assert!(!is_request_rejected(&state, &[COMMON], 10));
    }
}

#[test]
fn of_requests_at_the_same_crashes_only_one_is_quarantined() {
    let mut state = new_state();
    for index in 0..4 {
        crash(&mut state, &[], 10, index, index * SECOND);
        if index > 0 {
            crash(&mut state, &[], 20, index, index * SECOND);
        }
    }
    expire(&mut state, at(5 * SECOND));
    assert!(is_request_rejected(&state, &[], 10));
    assert!(!is_request_rejected(&state, &[], 20));
}

#[test]
fn a_request_that_crashed_two_servers_is_not_sent_again_in_the_same_attempt() {
    let mut state = new_state();
    let call = CallId(10);
    start_call(&mut state, call, suspects(&[], 10));
    record_crash(&mut state, call, ServerCrash(1), at(0), at(0));
    assert!(may_resend(&state, call, ServerCrash(1), at(0)));
    record_crash(&mut state, call, ServerCrash(2), at(500), at(500));
    assert!(!may_resend(&state, call, ServerCrash(2), at(500)));
}

#[test]
fn the_same_content_of_two_callers_is_two_requests() {
    let content = RequestDigest(7);
    let workspaces = ["a", "b"].map(|name| WorkspaceName::new(name).unwrap());
    let digests = [
        content.of_workspace(None),
        content.of_workspace(Some(&workspaces[0])),
        content.of_workspace(Some(&workspaces[1])),
    ];
    assert!(digests[0] != digests[1] && digests[1] != digests[2] && digests[0] != digests[2]);
    assert_eq!(digests[1], content.of_workspace(Some(&workspaces[0])));
}

#[test]
fn a_part_that_another_node_is_about_to_clear_is_not_quarantined_meanwhile() {
    let mut state = new_state();
    for index in 0..3 {
        crash(&mut state, &[COMMON], 10 + index, index, index * 500);
    }
    assert_eq!(state.verdicts(), []);
    assert!(!is_rejected_at(&state, &[COMMON], 1_300));
    assert!(is_rejected_at(&state, &[COMMON], 1_400));
    let clearance = CrashEvidence {
        reports: Vec::new(),
        clearances: vec![SuspectClearance {
            suspect: part(COMMON),
            cleared_at: at(1_100),
        }],
    };
    merge_evidence(&mut state, &clearance, at(1_350));
    assert!(!is_rejected_at(&state, &[COMMON], 1_400));
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
fn evidence_merges_to_the_same_verdicts_in_any_order() {
    // Each node sees one of the three crashes.
    let evidence: Vec<_> = (0..3)
        .map(|index| {
            let mut state = new_state();
            let now = index * SECOND;
            crash(&mut state, &[COMMON, DEADLY], 10 + index, index, now);
            fresh_evidence(&state, at(now))
        })
        .collect();
    let clearance = CrashEvidence {
        reports: Vec::new(),
        clearances: vec![SuspectClearance {
            suspect: part(COMMON),
            cleared_at: at(2_500),
        }],
    };
    let messages: Vec<_> = evidence.into_iter().chain([clearance]).collect();
    let mut hashes = Vec::new();
    for order in [[0, 1, 2, 3], [3, 2, 1, 0], [1, 3, 0, 2]] {
        let mut state = new_state();
        for index in order {
            merge_evidence(&mut state, &messages[index], at(3 * SECOND));
            merge_evidence(&mut state, &messages[index], at(3 * SECOND));
        }
        assert!(is_rejected(&state, &[DEADLY]), "{order:?}");
        assert!(!is_rejected(&state, &[COMMON]), "{order:?}");
        hashes.push(evidence_hash(&state));
    }
    assert!(hashes.iter().all(|hash| *hash == hashes[0]));
}

#[test]
fn a_node_that_starts_learns_the_verdict_from_watched_evidence() {
    let state = state_after_crashes();
    let mut started = new_state();
    merge_evidence(&mut started, &watched_evidence(&state), at(3 * SECOND));
    assert!(is_rejected(&started, &[DEADLY]));
    assert_eq!(evidence_hash(&started), evidence_hash(&state));
}

#[test]
fn an_answer_at_another_node_voids_a_report() {
    let mut state = new_state();
    answer(&mut state, &[COMMON], 50, 5 * SECOND);
    let report = CrashReport {
        suspect: part(COMMON),
        crash: ServerCrash(1),
        request: RequestDigest(10),
        sent_at: at(4 * SECOND),
        seen_at: at(4 * SECOND),
    };
    let evidence = CrashEvidence {
        reports: vec![report],
        clearances: Vec::new(),
    };
    merge_evidence(&mut state, &evidence, at(6 * SECOND));
    let fresh = fresh_evidence(&state, at(6 * SECOND));
    assert_eq!(fresh.clearances.len(), 1, "the other node must learn of it");
    assert_eq!(watched_evidence(&state).reports, []);
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
        !is_rejected(&state, &[DEADLY]),
        "the answer clears the part"
    );
}

#[test]
fn the_memory_is_bounded() {
    let settings = QuarantineSettings {
        max_reported_suspects: 20,
        max_answered_suspects: 30,
        ..QuarantineSettings::default()
    };
    let mut state = QuarantineState::new(settings);
    for index in 0..2_000 {
        let now = index * 300;
        crash(&mut state, &[10_000 + index], index, index, now);
        crash(&mut state, &[DEADLY], 5_000 + index, 5_000 + index, now);
        answer(&mut state, &[20_000 + index], 8_000 + index, now);
    }
    let evidence = fresh_evidence(&state, at(600_000));
    assert!(evidence.reports.len() <= 20, "{}", evidence.reports.len());
    assert!(watched_evidence(&state).reports.len() <= 20 * 12);
    let is_rejected = is_rejected_at(&state, &[DEADLY], 600_000);
    assert!(is_rejected, "it has the most reports");
}
