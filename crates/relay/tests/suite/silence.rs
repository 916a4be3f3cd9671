//! Requests of silent targets: which of them move, what a move uses up, and what becomes of the
//! two attempts.

use crate::support::{
    STREAM, at, check_stall, end_attempt, first, head, host, latest, not_run, plain,
    record_progress, relay, relay_with, request, send,
};
use base::prelude::*;
use intent::CallKind;
use relay::commands::{
    arrive, finish, give_up, record_progress as record_progress_of, set_targets, suspect_target,
};
use relay::queries::local_counts;
use relay::{
    AttemptEnd, AttemptId, CallArrival, CallStep, RefusalReason, RelayState, SendOrder, SendTarget,
    StallCause, StallStep,
};

const ONCE_ONLY: CallKind = CallKind::OnceOnly;
const IDEMPOTENT: CallKind = CallKind::Idempotent;
/// Instant of the last event of the streams.
const BEGUN_AT: u64 = 50;
/// Instant at which a stream that has begun has been silent for long enough to move.
const SILENT_AT: u64 = 560;
const RETRIES: u32 = 20;

/// Relay whose requests were all sent to `h1` before `others` were there.
fn relay_before(
    arrivals: impl IntoIterator<Item = CallArrival>,
    others: Vec<SendTarget>,
    retries: u32,
) -> RelayState {
    let mut state = relay_with(vec![head("h1", 1)], retries);
    for arrival in arrivals {
        send(&mut state, arrival, at(0));
    }
    let targets = [vec![head("h1", 1)], others].concat();
    set_targets(&mut state, targets);
    state
}

/// The same with streams that have begun.
fn begun_streams(count: u64, others: Vec<SendTarget>, retries: u32) -> RelayState {
    let arrivals = (0..count).map(|call| request(call, STREAM, 2));
    let mut state = relay_before(arrivals, others, retries);
    for call in 0..count {
        record_progress(&mut state, CallId(call), at(BEGUN_AT));
    }
    state
}

/// Checks these requests; returns those that move.
fn check_all(state: &mut RelayState, calls: impl Iterator<Item = u64>, now: u64) -> Vec<u64> {
    let moved = calls.filter(|call| match check_stall(state, CallId(*call), at(now)) {
        StallStep::Move(..) => true,
        StallStep::Wait { .. } => false,
        StallStep::Abort(cause) => panic!("request {call} is aborted: {cause:?}"),
    });
    moved.collect()
}

fn moved(step: StallStep) -> (StallCause, SendOrder) {
    match step {
        StallStep::Move(cause, order) => (cause, *order),
        step => panic!("not moved: {step:?}"),
    }
}

/// Requests at a target.
fn count_at(state: &RelayState, target: &str, now: u64) -> u32 {
    let counts = local_counts(state, at(now)).into_iter();
    let counts = counts.filter(|(id, _)| *id == host(target));
    counts.map(|(_, counts)| counts.fast + counts.slow).sum()
}

/// Retries that the budget of a service still allows, from a copy of the state.
fn retries_left(state: &RelayState, kind: CallKind, now: u64) -> u32 {
    let mut state = state.clone();
    let spare = |index: u64| SendTarget {
        slots: 1_000,
        ..match kind.is_stream() {
            true => head(&format!("spare-{index}"), 100 + index),
            false => plain(&format!("spare-{index}")),
        }
    };
    set_targets(&mut state, (0..2).map(spare).collect());
    let mut count = 0;
    loop {
        let call = 1_000 + u64::from(count);
        let arrival = CallArrival {
            deadline: at(now + 8_000),
            ..request(call, kind, 2)
        };
        send(&mut state, arrival, at(now));
        match end_attempt(
            &mut state,
            CallId(call),
            AttemptEnd::NotSent(not_run()),
            at(now),
        ) {
            CallStep::Send(_) => count += 1,
            CallStep::Refuse(refusal) => {
                assert_eq!(refusal.reason, RefusalReason::NoBudget);
                return count;
            }
            CallStep::Wait => panic!("no other attempt is open"),
        }
        finish(&mut state, CallId(call));
    }
}

#[test]
fn no_stream_is_refused_if_there_are_fewer_retries_than_silent_streams() {
    let mut state = begun_streams(8, vec![head("h2", 2)], 3);
    let moved = check_all(&mut state, 0..8, SILENT_AT);
    assert_eq!(moved.len(), 3);
    assert_eq!(retries_left(&state, STREAM, SILENT_AT), 0);
    assert_eq!(count_at(&state, "h1", SILENT_AT), 8);
    assert_eq!(count_at(&state, "h2", SILENT_AT), 3);
    // Those that moved keep their first attempt if the second target rejects them.
    for call in &moved {
        let step = end_attempt(
            &mut state,
            CallId(*call),
            AttemptEnd::NotRun(not_run()),
            at(SILENT_AT + 5),
        );
        assert_eq!(step, CallStep::Wait, "request {call}");
    }
    assert_eq!(check_all(&mut state, 0..8, SILENT_AT + 60), []);
    assert_eq!(count_at(&state, "h1", SILENT_AT + 60), 8);
    assert_eq!(count_at(&state, "h2", SILENT_AT + 60), 0);
}

#[test]
fn no_stream_is_refused_if_there_are_fewer_free_slots_than_silent_streams() {
    let small = SendTarget {
        slots: 1,
        ..head("h2", 2)
    };
    let mut state = begun_streams(8, vec![small], RETRIES);
    let moved = check_all(&mut state, 0..8, SILENT_AT);
    assert_eq!(moved.len(), 3);
    assert_eq!(retries_left(&state, STREAM, SILENT_AT), RETRIES - 3);
    assert_eq!(count_at(&state, "h1", SILENT_AT), 8);
    assert_eq!(count_at(&state, "h2", SILENT_AT), 3);
    // A slot that becomes free goes to one that still waits.
    finish(&mut state, CallId(moved[0]));
    let waiting = (0..8).filter(|call| !moved.contains(call));
    assert_eq!(check_all(&mut state, waiting, SILENT_AT + 60).len(), 1);
    assert_eq!(retries_left(&state, STREAM, SILENT_AT + 60), RETRIES - 4);
}

#[test]
fn streams_stay_and_no_retry_is_used_if_every_other_target_is_suspect() {
    let mut state = begun_streams(6, vec![head("h2", 2), head("h3", 3)], RETRIES);
    for target in ["h2", "h3"] {
        suspect_target(&mut state, &host(target), at(SILENT_AT - 10));
    }
    assert_eq!(check_all(&mut state, 0..6, SILENT_AT), []);
    assert_eq!(retries_left(&state, STREAM, SILENT_AT), RETRIES);
    assert_eq!(count_at(&state, "h1", SILENT_AT), 6);
    assert_eq!(count_at(&state, "h2", SILENT_AT), 0);
    // The suspicion has expired.
    assert_eq!(check_all(&mut state, 0..6, SILENT_AT + 200).len(), 6);
}

#[test]
fn streams_move_to_the_only_target_that_is_not_suspect_though_it_has_failed() {
    for seed in 0..16 {
        let others = (2..6).map(|index| head(&format!("h{index}"), index));
        let mut state = begun_streams(8, others.collect(), RETRIES);
        state.seed_choice(seed);
        state.set_counts_age(Some(Duration::from_millis(300)));
        // The target that is not suspect has failed a moment ago, so none is preferred.
        send(&mut state, request(100, STREAM, 2), at(SILENT_AT - 20));
        let failed = send(&mut state, request(101, STREAM, 2), at(SILENT_AT - 20)).target;
        end_attempt(
            &mut state,
            CallId(101),
            AttemptEnd::Lost,
            at(SILENT_AT - 10),
        );
        for call in [100, 101] {
            finish(&mut state, CallId(call));
        }
        let suspects = (2..6).map(|index| host(&format!("h{index}")));
        for suspect in suspects.filter(|id| *id != failed) {
            suspect_target(&mut state, &suspect, at(SILENT_AT - 10));
        }
        for call in 0..8 {
            let (_, order) = moved(check_stall(&mut state, CallId(call), at(SILENT_AT)));
            assert_eq!(order.target, failed, "seed {seed}, request {call}");
        }
    }
}

#[test]
fn a_stream_whose_attempts_are_used_up_by_earlier_silences_waits_for_its_target() {
    let mut state = begun_streams(1, vec![head("h2", 2), head("h3", 3)], RETRIES);
    let (_, order) = moved(check_stall(&mut state, CallId(0), at(SILENT_AT)));
    record_progress(&mut state, CallId(0), at(SILENT_AT + 100));
    let only = vec![(order.target.clone(), relay::LaneCounts { fast: 1, slow: 0 })];
    assert_eq!(local_counts(&state, at(SILENT_AT + 100)), only);
    for now in [1_300, 3_000, 7_900] {
        assert_eq!(check_all(&mut state, 0..1, now), []);
    }
    assert_eq!(retries_left(&state, STREAM, 7_900), RETRIES - 1);
    assert_eq!(local_counts(&state, at(7_900)), only);
}

#[test]
fn a_second_target_that_does_not_take_the_request_costs_nothing() {
    let ends = [
        (AttemptEnd::NotSent(not_run()), true),
        (AttemptEnd::NotRun(not_run()), true),
        (AttemptEnd::GroupBroken(not_run()), true),
        (AttemptEnd::Misdirected(not_run()), true),
        (AttemptEnd::Lost, false),
        (AttemptEnd::Cut, false),
        (AttemptEnd::Failed, false),
        (AttemptEnd::Stalled, false),
    ];
    for (end, may_move_again) in ends {
        let mut state = begun_streams(1, vec![head("h2", 2)], RETRIES);
        let (cause, order) = moved(check_stall(&mut state, CallId(0), at(SILENT_AT)));
        assert_eq!((cause, order.attempt.number), (StallCause::Silent, 2));
        let now = SILENT_AT + 5;
        let step = relay::commands::end_attempt(&mut state, order.attempt, end, at(now));
        assert_eq!(step, CallStep::Wait, "{end:?}");
        assert_eq!(latest(&state, 0), first(0), "{end:?}");
        assert_eq!(count_at(&state, "h1", now), 1, "{end:?}");
        assert_eq!(count_at(&state, "h2", now), 0, "{end:?}");
        assert_eq!(retries_left(&state, STREAM, now), RETRIES - 1, "{end:?}");
        set_targets(
            &mut state,
            vec![head("h1", 1), head("h2", 2), head("h3", 3)],
        );
        let moved_again = check_all(&mut state, 0..1, now + 60);
        assert_eq!(!moved_again.is_empty(), may_move_again, "{end:?}");
        // The first target goes on after all.
        record_progress_of(&mut state, first(0), at(now + 100));
        assert_eq!(count_at(&state, "h1", now + 100), 1, "{end:?}");
        assert_eq!(count_at(&state, "h3", now + 100), 0, "{end:?}");
    }
}

#[test]
fn a_request_is_sent_to_a_third_target_if_the_second_rejects_it() {
    let others = vec![head("h2", 2), head("h3", 3)];
    let mut state = begun_streams(1, others, RETRIES);
    let (_, second) = moved(check_stall(&mut state, CallId(0), at(SILENT_AT)));
    let now = at(SILENT_AT + 5);
    let step = relay::commands::end_attempt(
        &mut state,
        second.attempt,
        AttemptEnd::NotRun(not_run()),
        now,
    );
    let CallStep::Send(third) = step else {
        panic!("not sent: {step:?}");
    };
    assert_eq!(third.attempt.number, 3);
    assert_ne!(third.target, second.target);
    assert_eq!(count_at(&state, "h1", SILENT_AT + 5), 1);
    assert_eq!(count_at(&state, second.target.as_str(), SILENT_AT + 5), 0);
    assert_eq!(count_at(&state, third.target.as_str(), SILENT_AT + 5), 1);
    assert_eq!(
        retries_left(&state, STREAM, SILENT_AT + 5),
        RETRIES - 2,
        "each of the two attempts is a retry"
    );
}

#[test]
fn the_attempt_that_makes_progress_is_the_only_one_that_is_counted() {
    for (progress, other) in [(1, 2), (2, 1)] {
        let mut state = begun_streams(1, vec![head("h2", 2)], RETRIES);
        moved(check_stall(&mut state, CallId(0), at(SILENT_AT)));
        let attempt = AttemptId {
            call: CallId(0),
            number: progress,
        };
        record_progress_of(&mut state, attempt, at(SILENT_AT + 40));
        assert_eq!(latest(&state, 0), attempt);
        let (kept, released) = (format!("h{progress}"), format!("h{other}"));
        assert_eq!(count_at(&state, &kept, SILENT_AT + 40), 1);
        assert_eq!(count_at(&state, &released, SILENT_AT + 40), 0);
        assert_eq!(retries_left(&state, STREAM, SILENT_AT + 40), RETRIES - 1);
        finish(&mut state, CallId(0));
        assert_eq!(local_counts(&state, at(SILENT_AT + 40)), []);
    }
}

#[test]
fn a_request_that_ends_releases_both_attempts() {
    let mut state = begun_streams(1, vec![head("h2", 2)], RETRIES);
    moved(check_stall(&mut state, CallId(0), at(SILENT_AT)));
    finish(&mut state, CallId(0));
    assert_eq!(local_counts(&state, at(SILENT_AT)), []);
}

#[test]
fn the_second_attempt_goes_on_alone_if_the_first_is_lost() {
    for end in [
        AttemptEnd::Lost,
        AttemptEnd::Cut,
        AttemptEnd::NotRun(not_run()),
    ] {
        let mut state = begun_streams(1, vec![head("h2", 2)], RETRIES);
        let (_, order) = moved(check_stall(&mut state, CallId(0), at(SILENT_AT)));
        let now = SILENT_AT + 5;
        let step = relay::commands::end_attempt(&mut state, first(0), end, at(now));
        assert_eq!(step, CallStep::Wait, "{end:?}");
        assert_eq!(latest(&state, 0), order.attempt, "{end:?}");
        assert_eq!(count_at(&state, "h1", now), 0, "{end:?}");
        assert_eq!(count_at(&state, "h2", now), 1, "{end:?}");
        assert_eq!(retries_left(&state, STREAM, now), RETRIES - 1, "{end:?}");
    }
}

#[test]
fn a_request_is_refused_once_all_its_attempts_have_ended() {
    let mut state = begun_streams(1, vec![head("h2", 2)], RETRIES);
    moved(check_stall(&mut state, CallId(0), at(SILENT_AT)));
    let now = at(SILENT_AT + 5);
    let step = relay::commands::end_attempt(&mut state, first(0), AttemptEnd::Cut, now);
    assert_eq!(step, CallStep::Wait);
    let CallStep::Refuse(refusal) = end_attempt(&mut state, CallId(0), AttemptEnd::Lost, now)
    else {
        panic!("no attempts are left");
    };
    assert!(refusal.may_have_run());
    assert_eq!(local_counts(&state, now), []);
}

#[test]
fn an_idempotent_request_moves_within_its_objective_and_keeps_the_first_attempt() {
    let mut state = relay(vec![plain("p1")]);
    send(&mut state, request(1, IDEMPOTENT, 2), at(0));
    set_targets(&mut state, vec![plain("p1"), plain("p2")]);
    assert_eq!(check_all(&mut state, 1..2, 209), []);
    let (cause, order) = moved(check_stall(&mut state, CallId(1), at(211)));
    assert_eq!(cause, StallCause::NotBegun);
    assert_eq!(order.target, host("p2"));
    assert_eq!(retries_left(&state, IDEMPOTENT, 211), RETRIES - 1);
    assert_eq!(count_at(&state, "p1", 211), 1);
    assert_eq!(count_at(&state, "p2", 211), 1);
    let step = end_attempt(
        &mut state,
        CallId(1),
        AttemptEnd::NotRun(not_run()),
        at(220),
    );
    assert_eq!(step, CallStep::Wait);
    assert_eq!(count_at(&state, "p1", 220), 1);
}

#[test]
fn a_request_that_must_run_once_waits_for_its_target() {
    let once_only_stream = CallKind::Stream { resumable: false };
    for kind in [ONCE_ONLY, once_only_stream] {
        let target = |index: u64| match kind.is_stream() {
            true => head(&format!("h{index}"), index),
            false => plain(&format!("h{index}")),
        };
        let mut state = relay(vec![target(1)]);
        send(&mut state, request(1, kind, 3), at(0));
        set_targets(&mut state, vec![target(1), target(2)]);
        for now in [300, 1_600, 5_000, 7_990] {
            assert_eq!(check_all(&mut state, 1..2, now), [], "{kind:?}");
        }
        assert_eq!(retries_left(&state, kind, 7_990), RETRIES, "{kind:?}");
        assert_eq!(count_at(&state, "h1", 7_990), 1, "{kind:?}");
        assert_eq!(count_at(&state, "h2", 7_990), 0, "{kind:?}");
    }
}

#[test]
fn a_stream_moves_until_there_is_no_time_left_for_another_attempt() {
    for (now, is_moved) in [(7_900, true), (7_979, true), (7_981, false), (8_000, false)] {
        let mut state = begun_streams(1, vec![head("h2", 2)], RETRIES);
        let step = check_stall(&mut state, CallId(0), at(now));
        assert_eq!(matches!(step, StallStep::Move(..)), is_moved, "{now} ms");
        let used = u32::from(is_moved);
        assert_eq!(
            retries_left(&state, STREAM, now),
            RETRIES - used,
            "{now} ms"
        );
        assert_eq!(count_at(&state, "h1", now), 1, "{now} ms");
        assert_eq!(count_at(&state, "h2", now), used, "{now} ms");
    }
}

#[test]
fn a_crash_suspect_is_refused_only_without_another_open_attempt() {
    let mut state = begun_streams(2, vec![head("h2", 2)], RETRIES);
    let (_, order) = moved(check_stall(&mut state, CallId(0), at(SILENT_AT)));
    let now = at(SILENT_AT + 5);
    let step = give_up(&mut state, order.attempt, AttemptEnd::Lost, now);
    assert_eq!(step, CallStep::Wait);
    assert_eq!(count_at(&state, "h1", SILENT_AT + 5), 2);
    assert_eq!(count_at(&state, "h2", SILENT_AT + 5), 0);
    let step = give_up(&mut state, first(1), AttemptEnd::Lost, now);
    assert!(matches!(step, CallStep::Refuse(refusal) if refusal.may_have_run()));
    assert_eq!(retries_left(&state, STREAM, SILENT_AT + 5), RETRIES - 1);
}

#[test]
fn the_limits_of_silence_depend_on_what_has_arrived() {
    // Milliseconds without data, by kind and whether the response has begun.
    for (kind, has_begun, limit) in [
        (STREAM, true, 500),
        (STREAM, false, 1_500),
        (IDEMPOTENT, false, 210),
    ] {
        let target = |index: u64| match kind.is_stream() {
            true => head(&format!("h{index}"), index),
            false => plain(&format!("h{index}")),
        };
        let mut state = relay(vec![target(1)]);
        assert!(matches!(
            arrive(&mut state, request(1, kind, 2), at(0)),
            CallStep::Send(_)
        ));
        if has_begun {
            record_progress(&mut state, CallId(1), at(0));
        }
        set_targets(&mut state, vec![target(1), target(2)]);
        assert_eq!(check_all(&mut state, 1..2, limit - 1), [], "{kind:?}");
        assert_eq!(check_all(&mut state, 1..2, limit), [1], "{kind:?}");
    }
}

#[test]
fn a_crash_suspect_is_not_sent_again_while_another_of_its_attempts_is_open() {
    let others = vec![head("h2", 2), head("h3", 3)];
    let mut state = relay_before([request(1, STREAM, 4)], others, RETRIES);
    record_progress(&mut state, CallId(1), at(BEGUN_AT));
    let (_, order) = moved(check_stall(&mut state, CallId(1), at(SILENT_AT)));
    let now = at(SILENT_AT + 5);
    let step = give_up(&mut state, order.attempt, AttemptEnd::Lost, now);
    assert_eq!(step, CallStep::Wait);
    for millis in [SILENT_AT + 100, SILENT_AT + 2_000] {
        let step = check_stall(&mut state, CallId(1), at(millis));
        assert!(matches!(step, StallStep::Wait { .. }), "{millis} ms");
    }
}
