//! Which requests are quarantined after which crashes and answers.

use base::prelude::*;
use quarantine::commands::{expire, merge_evidence, record_crash, renew_suspects, start_call};
use quarantine::queries::{blocking_verdict, fresh_evidence, may_resend};
use quarantine::{
    AnswerStage, CrashEvidence, CrashSuspect, QuarantineState, RequestDigest, ServerCrash,
    SuspectClearance,
};

use crate::support::{
    COMMON, DEADLY, SECOND, answer, at, crash, crash_later, is_rejected, is_request_rejected,
    new_state, suspects,
};

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

/// Sends a request whose server crashes unless it is rejected; returns whether it was sent.
fn send_deadly(state: &mut QuarantineState, own: u64, id: u64, millis: u64) -> bool {
    expire(state, at(millis));
    let verdict = blocking_verdict(state, &suspects(&[], own));
    let blocked = verdict.map(|verdict| verdict.suspects.clone());
    match &blocked {
        Some(blocked) => renew_suspects(state, blocked, at(millis)),
        None => crash(state, &[], own, id, millis),
    }
    blocked.is_none()
}

#[test]
fn a_request_that_still_comes_is_not_forgotten_a_minute_after_its_last_crash() {
    for crashes in [3, 5] {
        let mut state = new_state();
        for index in 0..crashes {
            crash(&mut state, &[], 10, index, index * 400);
        }
        let mut sent = 0;
        for round in 1..200 {
            let millis = 3 * SECOND + round * 2_700;
            sent += u64::from(send_deadly(&mut state, 10, 100 + round, millis));
        }
        // One trial a minute until the crashes are certain.
        assert_eq!(sent, 5 - crashes, "after {crashes} crashes");
    }
}

#[test]
fn a_sound_request_is_served_again_after_its_trial() {
    let mut state = new_state();
    for index in 0..3 {
        crash(&mut state, &[], 10, index, index * 400);
    }
    for millis in (3 * SECOND..60 * SECOND).step_by(1_000) {
        expire(&mut state, at(millis));
        let verdict = blocking_verdict(&state, &suspects(&[], 10)).unwrap();
        let blocked = verdict.suspects.clone();
        renew_suspects(&mut state, &blocked, at(millis));
    }
    expire(&mut state, at(61 * SECOND));
    assert!(!is_request_rejected(&state, &[], 10));
    answer(&mut state, &[], 10, 61 * SECOND);
    crash(&mut state, &[], 10, 7, 62 * SECOND);
    expire(&mut state, at(64 * SECOND));
    assert!(!is_request_rejected(&state, &[], 10));
}

#[test]
fn a_node_that_rejects_no_request_itself_is_told_that_it_still_comes() {
    let (mut one, mut other) = (new_state(), new_state());
    for index in 0..5 {
        crash(&mut one, &[], 10, index, index * 400);
    }
    for millis in (2 * SECOND..200 * SECOND).step_by(1_000) {
        expire(&mut one, at(millis));
        expire(&mut other, at(millis));
        let verdict = blocking_verdict(&one, &suspects(&[], 10)).unwrap();
        let blocked = verdict.suspects.clone();
        renew_suspects(&mut one, &blocked, at(millis));
        merge_evidence(&mut other, &fresh_evidence(&one, at(millis)), at(millis));
        assert!(is_request_rejected(&other, &[], 10), "{millis} ms");
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
        let clearances = AnswerStage::ALL.map(|stage| SuspectClearance {
            suspect: CrashSuspect::Request(RequestDigest(10)).before(stage),
            cleared_at: at(now + 5),
        });
        let clearance = CrashEvidence {
            reports: Vec::new(),
            clearances: clearances.to_vec(),
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

/// Whether a node rejects a request after it has received the reports of three crashes, each of
/// which the request met so long after the crash before, in messages that took so long.
fn is_rejected_elsewhere(sent_after: i64, delays: [u64; 3]) -> bool {
    let mut other = new_state();
    for (index, delay) in (0_u64..).zip(delays) {
        let crashed = 1_000 + 50 * index;
        let sent = (crashed - 50).saturating_add_signed(sent_after);
        let mut state = new_state();
        crash_later(&mut state, &[], 10, index, (sent + delay, crashed + delay));
        let reports = fresh_evidence(&state, at(2_000)).reports;
        let clearances = Vec::new();
        let evidence = CrashEvidence {
            reports,
            clearances,
        };
        merge_evidence(&mut other, &evidence, at(crashed + delay));
    }
    expire(&mut other, at(3_000));
    is_request_rejected(&other, &[], 10)
}

/// A node that takes two successive crashes for simultaneous ones sends the request on.
#[test]
fn successive_crashes_are_recognised_by_reports_that_arrive_after_different_times() {
    for delays in [[0, 0, 0], [3, 0, 0], [0, 5, 0], [9, 4, 0], [0, 9, 0]] {
        assert!(is_rejected_elsewhere(0, delays), "{delays:?}");
    }
    // Copies of a sound request at servers that fail one after the other.
    assert!(!is_rejected_elsewhere(-40, [0, 0, 0]));
}
