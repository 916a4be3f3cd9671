//! Choice of target and lane, and detection of silent targets.

use crate::support::{
    STREAM, at, check_stall, end_attempt, head, host, not_run, record_progress, relay, request,
    send, silent_target,
};
use base::prelude::*;
use relay::commands::{
    finish, set_targets, suspect_target, update_engine_load, update_remote_counts,
};
use relay::queries::{local_counts, total_counts};
use relay::{CallStep, LaneCounts, RefusalReason, StallCause, StallStep};

const FAST_RANK: u8 = 4;
const SLOW_RANK: u8 = 8;

#[test]
fn requests_are_spread_over_the_heads() {
    let mut state = relay(vec![head("h1", 1), head("h2", 2)]);
    let targets: Vec<_> = (0..4)
        .map(|call| send(&mut state, request(call, STREAM, 2), at(0)).target)
        .collect();
    assert_eq!(
        targets
            .iter()
            .filter(|target| **target == host("h1"))
            .count(),
        2
    );
}

#[test]
fn requests_beyond_the_slots_take_the_slow_lane() {
    let mut state = relay(vec![head("h1", 1)]);
    let ranks: Vec<_> = (0..8)
        .map(|call| send(&mut state, request(call, STREAM, 2), at(0)).rank)
        .collect();
    let (fast, slow) = ranks.split_at(5);
    assert!(fast.iter().all(|rank| *rank == FAST_RANK), "{ranks:?}");
    assert!(slow.iter().all(|rank| *rank == SLOW_RANK), "{ranks:?}");
    for call in 0..5 {
        finish(&mut state, CallId(call));
    }
    let order = send(&mut state, request(20, STREAM, 2), at(1));
    assert_eq!(order.rank, FAST_RANK);
}

#[test]
fn an_engine_with_a_full_queue_is_sent_no_more_requests() {
    let mut state = relay(vec![head("h1", 1)]);
    let steps =
        (0..40).map(|call| relay::commands::arrive(&mut state, request(call, STREAM, 2), at(0)));
    let refused = steps.filter(|step| {
        matches!(step, CallStep::Refuse(refusal) if refusal.reason == RefusalReason::Overload)
    });
    assert_eq!(refused.count(), 30);
}

#[test]
fn counts_of_other_nodes_expire() {
    let mut state = relay(vec![head("h1", 1), head("h2", 2)]);
    let node = NodeName::new("n2").unwrap();
    let busy = LaneCounts { fast: 3, slow: 0 };
    update_remote_counts(&mut state, &node, &[(host("h1"), busy)], at(0));
    let order = send(&mut state, request(1, STREAM, 2), at(10));
    assert_eq!(order.target, host("h2"));
    let order = send(&mut state, request(2, STREAM, 2), at(5_000));
    assert_eq!(order.target, host("h1"), "counts from 5 s ago have expired");
}

#[test]
fn a_suspect_head_is_used_again_once_it_sends_data() {
    let mut state = relay(vec![head("h1", 1), head("h2", 2)]);
    let first = send(&mut state, request(1, STREAM, 2), at(0));
    suspect_target(&mut state, &first.target, at(10));
    for call in 2..4 {
        let order = send(&mut state, request(call, STREAM, 2), at(20));
        assert_ne!(order.target, first.target);
    }
    record_progress(&mut state, CallId(1), at(30));
    let order = send(&mut state, request(9, STREAM, 2), at(40));
    assert_eq!(order.target, first.target);
}

#[test]
fn a_target_that_turned_out_to_be_another_server_is_avoided_for_longer() {
    let mut state = relay(vec![head("h1", 1), head("h2", 2)]);
    let first = send(&mut state, request(1, STREAM, 2), at(0));
    let end = relay::AttemptEnd::Misdirected(not_run());
    end_attempt(&mut state, CallId(1), end, at(5));
    finish(&mut state, CallId(1));
    for call in 2..8 {
        let order = send(&mut state, request(call, STREAM, 2), at(300));
        assert_ne!(order.target, first.target);
        finish(&mut state, CallId(call));
    }
}

#[test]
fn a_queued_request_has_a_longer_stall_timeout_than_a_running_stream() {
    let mut state = relay(vec![head("h1", 1), head("h2", 2)]);
    send(&mut state, request(1, STREAM, 2), at(0));
    assert!(matches!(
        check_stall(&mut state, CallId(1), at(700)),
        StallStep::Wait { .. }
    ));
    record_progress(&mut state, CallId(1), at(800));
    assert!(matches!(
        check_stall(&mut state, CallId(1), at(1_100)),
        StallStep::Wait { .. }
    ));
    let step = check_stall(&mut state, CallId(1), at(1_400));
    assert!(
        matches!(step, StallStep::Move(StallCause::Silent, _)),
        "{step:?}"
    );
}

#[test]
fn a_target_that_sends_data_for_other_requests_is_not_stalled() {
    let mut state = relay(vec![head("h1", 1)]);
    send(&mut state, request(1, STREAM, 2), at(0));
    send(&mut state, request(2, STREAM, 2), at(0));
    record_progress(&mut state, CallId(2), at(1_400));
    assert!(matches!(
        check_stall(&mut state, CallId(1), at(1_600)),
        StallStep::Wait { .. }
    ));
    assert_eq!(silent_target(&state, CallId(1), at(1_600)), None);
}

#[test]
fn streams_leave_a_group_that_has_ended() {
    let mut state = relay(vec![head("h1", 1), head("h2", 2)]);
    let order = send(&mut state, request(1, STREAM, 2), at(0));
    record_progress(&mut state, CallId(1), at(50));
    let other = if order.target == host("h1") {
        "h2"
    } else {
        "h1"
    };
    set_targets(
        &mut state,
        vec![head(other, 2), head(order.target.as_str(), 7)],
    );
    let step = check_stall(&mut state, CallId(1), at(60));
    assert!(
        matches!(step, StallStep::Move(StallCause::GroupChanged, _)),
        "{step:?}"
    );
}

#[test]
fn streams_are_not_cut_while_their_group_closes_and_no_other_takes_them() {
    let mut state = relay(vec![head("h1", 1)]);
    send(&mut state, request(1, STREAM, 2), at(0));
    record_progress(&mut state, CallId(1), at(50));
    set_targets(&mut state, Vec::new());
    for millis in [60, 700, 3_000] {
        let step = check_stall(&mut state, CallId(1), at(millis));
        assert!(matches!(step, StallStep::Wait { .. }), "{millis} ms");
    }
    set_targets(&mut state, vec![head("h2", 2)]);
    let step = check_stall(&mut state, CallId(1), at(3_060));
    assert!(
        matches!(step, StallStep::Move(StallCause::GroupChanged, _)),
        "{step:?}"
    );
}

#[test]
fn a_begun_stream_is_not_cut_at_a_silent_head_while_no_other_takes_it() {
    let mut state = relay(vec![head("h1", 1)]);
    send(&mut state, request(1, STREAM, 2), at(0));
    record_progress(&mut state, CallId(1), at(50));
    let step = check_stall(&mut state, CallId(1), at(2_000));
    assert!(matches!(step, StallStep::Wait { .. }));
}

#[test]
fn a_stream_without_another_attempt_waits() {
    let mut state = relay(vec![head("h1", 1), head("h2", 2)]);
    send(&mut state, request(1, STREAM, 1), at(0));
    assert!(matches!(
        check_stall(&mut state, CallId(1), at(5_000)),
        StallStep::Wait { .. }
    ));
}

#[test]
fn requests_of_failed_nodes_count_towards_an_engines_load() {
    let mut state = relay(vec![head("h1", 1)]);
    update_engine_load(&mut state, &host("h1"), 6, at(0));
    let order = send(&mut state, request(1, STREAM, 2), at(10));
    assert_eq!(order.rank, SLOW_RANK, "all slots are occupied");
    let counts = local_counts(&state, at(10));
    assert_eq!(counts, vec![(host("h1"), LaneCounts { fast: 6, slow: 1 })]);
    let order = send(&mut state, request(2, STREAM, 2), at(500));
    assert_eq!(
        order.rank, FAST_RANK,
        "a report from half a second ago has expired"
    );
}

#[test]
fn requests_announced_by_nodes_are_not_counted_twice() {
    let mut state = relay(vec![head("h1", 1)]);
    let node = NodeName::new("n2").unwrap();
    let busy = LaneCounts { fast: 2, slow: 0 };
    update_remote_counts(&mut state, &node, &[(host("h1"), busy)], at(0));
    update_engine_load(&mut state, &host("h1"), 2, at(1));
    assert_eq!(total_counts(&state, at(2)), vec![(host("h1"), busy)]);
}

#[test]
fn nodes_without_counts_are_assumed_to_be_as_busy_as_this_one() {
    let mut state = relay(vec![head("h1", 1), head("h2", 2)]);
    state.set_unreported_nodes(9);
    let ranks: Vec<_> = (0..3)
        .map(|call| send(&mut state, request(call, STREAM, 2), at(0)).rank)
        .collect();
    assert_eq!(ranks, vec![FAST_RANK, SLOW_RANK, SLOW_RANK]);
    state.set_unreported_nodes(0);
    let order = send(&mut state, request(9, STREAM, 2), at(1));
    assert_eq!(order.rank, FAST_RANK);
}

#[test]
fn a_queued_request_in_the_slow_lane_does_not_make_its_target_suspect() {
    let mut state = relay(vec![head("h1", 1), head("h2", 2)]);
    state.set_unreported_nodes(90);
    send(&mut state, request(1, STREAM, 2), at(0));
    let order = send(&mut state, request(2, STREAM, 2), at(0));
    assert_eq!(order.rank, SLOW_RANK);
    assert_eq!(silent_target(&state, CallId(2), at(1_700)), None);
    assert!(matches!(
        check_stall(&mut state, CallId(2), at(1_700)),
        StallStep::Wait { .. }
    ));
    suspect_target(&mut state, &order.target, at(1_700));
    let step = check_stall(&mut state, CallId(2), at(1_710));
    assert!(
        matches!(step, StallStep::Move(StallCause::NotBegun, _)),
        "{step:?}"
    );
}

/// Request whose client's deadline is at `millis`.
fn with_client_deadline(call: u64, millis: u64) -> relay::CallArrival {
    relay::CallArrival {
        client_deadline: Some(at(millis)),
        ..request(call, STREAM, 2)
    }
}

#[test]
fn a_request_that_is_already_late_takes_the_slow_lane() {
    let mut state = relay(vec![head("h1", 1), head("h2", 2)]);
    let mut rank = |call, millis| send(&mut state, with_client_deadline(call, millis), at(0)).rank;
    assert_eq!(rank(1, 6_000), FAST_RANK);
    assert_eq!(rank(2, 4_900), SLOW_RANK, "a retry after about a second");
    assert_eq!(rank(3, 5_800), FAST_RANK, "may still be in time");
}

#[test]
fn clients_with_different_timeouts_are_not_taken_for_retries() {
    let mut state = relay(vec![head("h1", 1)]);
    let mut ranks = Vec::new();
    for call in 0..60 {
        let deadline = if call == 0 { 9_000 } else { 2_000 + call * 50 };
        ranks.push(send(&mut state, with_client_deadline(call, deadline), at(0)).rank);
        finish(&mut state, CallId(call));
    }
    assert!(
        ranks[20..].iter().all(|rank| *rank == FAST_RANK),
        "{ranks:?}"
    );
}

#[test]
fn clients_whose_timeouts_vary_are_not_taken_for_retries() {
    let mut state = relay(vec![head("h1", 1)]);
    let mut demoted = 0;
    for call in 0..400 {
        // From 5.1 to 6 s, as if drawn at random.
        let deadline = 6_000 - call * 619 % 900;
        let order = send(&mut state, with_client_deadline(call, deadline), at(0));
        demoted += usize::from(call >= 40 && order.rank == SLOW_RANK);
        finish(&mut state, CallId(call));
    }
    assert_eq!(demoted, 0, "of 360 first attempts");
    let retry = send(&mut state, with_client_deadline(500, 4_600), at(0));
    assert_eq!(
        retry.rank, SLOW_RANK,
        "half a second less than the shortest timeout"
    );
}

#[test]
fn retries_do_not_pass_for_first_attempts_with_a_shorter_timeout() {
    let mut state = relay(vec![head("h1", 1)]);
    let mut ranks = Vec::new();
    for call in 0..100 {
        // Every third request is a retry after 0.3 to 2 s.
        let waited = if call % 3 == 2 {
            300 + call * 619 % 1_700
        } else {
            0
        };
        let order = send(
            &mut state,
            with_client_deadline(call, 6_000 - waited),
            at(0),
        );
        ranks.push((waited, order.rank));
        finish(&mut state, CallId(call));
    }
    assert!(
        ranks
            .iter()
            .all(|(waited, rank)| (*waited > 0) == (*rank == SLOW_RANK)),
        "{ranks:?}"
    );
}

#[test]
fn a_suspect_head_is_no_way_out_when_the_others_are_busy() {
    let mut state = relay(vec![head("h1", 1), head("h2", 2)]);
    let node = NodeName::new("n2").unwrap();
    let busy = LaneCounts { fast: 6, slow: 0 };
    update_remote_counts(&mut state, &node, &[(host("h1"), busy)], at(0));
    suspect_target(&mut state, &host("h2"), at(10));
    let order = send(&mut state, request(1, STREAM, 2), at(20));
    assert_eq!(order.target, host("h1"), "a request to a lost group stalls");
    assert_eq!(order.rank, SLOW_RANK);
}
