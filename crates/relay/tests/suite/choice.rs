//! Which target and lane a request takes, and silent targets.

use crate::support::{STREAM, at, head, host, relay, request, send};
use base::prelude::*;
use relay::commands::{
    check_stall, finish, record_progress, set_targets, silent_target, suspect_target,
    update_engine_load, update_remote_counts,
};
use relay::queries::{local_counts, total_counts};
use relay::{CallStep, LaneCounts, RefusalReason, StallStep};

const FAST_RANK: u8 = 4;
const SLOW_RANK: u8 = 8;

#[test]
fn requests_spread_over_the_heads() {
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
fn requests_beyond_the_slots_wait_behind_those_in_time() {
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
fn an_engine_with_a_long_queue_takes_no_more() {
    let mut state = relay(vec![head("h1", 1)]);
    let steps =
        (0..40).map(|call| relay::commands::arrive(&mut state, request(call, STREAM, 2), at(0)));
    let refused = steps.filter(|step| {
        matches!(step, CallStep::Refuse(refusal) if refusal.reason == RefusalReason::Overload)
    });
    assert_eq!(refused.count(), 30);
}

#[test]
fn what_other_nodes_have_running_counts_while_it_is_fresh() {
    let mut state = relay(vec![head("h1", 1), head("h2", 2)]);
    let node = NodeName::new("n2").unwrap();
    let busy = LaneCounts { fast: 3, slow: 0 };
    update_remote_counts(&mut state, &node, &[(host("h1"), busy)], at(0));
    let order = send(&mut state, request(1, STREAM, 2), at(10));
    assert_eq!(order.target, host("h2"));
    let order = send(&mut state, request(2, STREAM, 2), at(5_000));
    assert_eq!(order.target, host("h1"), "counts of 5 s ago say nothing");
}

#[test]
fn a_suspect_head_is_used_again_once_it_is_heard() {
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
fn a_server_that_is_another_one_now_is_left_alone_for_longer() {
    let mut state = relay(vec![head("h1", 1), head("h2", 2)]);
    let first = send(&mut state, request(1, STREAM, 2), at(0));
    let end = relay::AttemptEnd::Misdirected;
    relay::commands::end_attempt(&mut state, CallId(1), end, at(5));
    finish(&mut state, CallId(1));
    for call in 2..8 {
        let order = send(&mut state, request(call, STREAM, 2), at(300));
        assert_ne!(order.target, first.target);
        finish(&mut state, CallId(call));
    }
}

#[test]
fn a_queued_request_is_patient_and_a_begun_stream_is_not() {
    let mut state = relay(vec![head("h1", 1), head("h2", 2)]);
    send(&mut state, request(1, STREAM, 2), at(0));
    assert!(matches!(
        check_stall(&state, CallId(1), at(700)),
        StallStep::Wait { .. }
    ));
    record_progress(&mut state, CallId(1), at(800));
    assert!(matches!(
        check_stall(&state, CallId(1), at(1_100)),
        StallStep::Wait { .. }
    ));
    assert_eq!(check_stall(&state, CallId(1), at(1_400)), StallStep::Abort);
}

#[test]
fn a_server_that_sends_on_other_requests_is_only_busy() {
    let mut state = relay(vec![head("h1", 1)]);
    send(&mut state, request(1, STREAM, 2), at(0));
    send(&mut state, request(2, STREAM, 2), at(0));
    record_progress(&mut state, CallId(2), at(1_400));
    assert!(matches!(
        check_stall(&state, CallId(1), at(1_600)),
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
    assert_eq!(check_stall(&state, CallId(1), at(60)), StallStep::Abort);
}

#[test]
fn a_stream_without_another_attempt_waits() {
    let mut state = relay(vec![head("h1", 1), head("h2", 2)]);
    send(&mut state, request(1, STREAM, 1), at(0));
    assert!(matches!(
        check_stall(&state, CallId(1), at(5_000)),
        StallStep::Wait { .. }
    ));
}

#[test]
fn work_that_engines_still_do_for_lost_nodes_counts() {
    let mut state = relay(vec![head("h1", 1)]);
    update_engine_load(&mut state, &host("h1"), 6, at(0));
    let order = send(&mut state, request(1, STREAM, 2), at(10));
    assert_eq!(order.rank, SLOW_RANK, "the slots are taken");
    let told = local_counts(&state, at(10));
    assert_eq!(told, vec![(host("h1"), LaneCounts { fast: 6, slow: 1 })]);
    let order = send(&mut state, request(2, STREAM, 2), at(500));
    assert_eq!(
        order.rank, FAST_RANK,
        "a report of half a second ago is old"
    );
}

#[test]
fn work_that_nodes_tell_of_is_not_counted_twice() {
    let mut state = relay(vec![head("h1", 1)]);
    let node = NodeName::new("n2").unwrap();
    let busy = LaneCounts { fast: 2, slow: 0 };
    update_remote_counts(&mut state, &node, &[(host("h1"), busy)], at(0));
    update_engine_load(&mut state, &host("h1"), 2, at(1));
    assert_eq!(total_counts(&state, at(2)), vec![(host("h1"), busy)]);
}

#[test]
fn a_node_that_has_heard_nobody_takes_the_others_to_be_as_busy() {
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
fn a_request_in_the_slow_lane_says_nothing_about_its_server() {
    let mut state = relay(vec![head("h1", 1), head("h2", 2)]);
    state.set_unreported_nodes(90);
    send(&mut state, request(1, STREAM, 2), at(0));
    let order = send(&mut state, request(2, STREAM, 2), at(0));
    assert_eq!(order.rank, SLOW_RANK);
    assert_eq!(silent_target(&state, CallId(2), at(1_700)), None);
    assert!(matches!(
        check_stall(&state, CallId(2), at(1_700)),
        StallStep::Wait { .. }
    ));
    suspect_target(&mut state, &order.target, at(1_700));
    assert_eq!(check_stall(&state, CallId(2), at(1_710)), StallStep::Abort);
}

/// Request whose client still waits for some milliseconds.
fn with_patience(call: u64, millis: u64) -> relay::CallArrival {
    relay::CallArrival {
        client_deadline: Some(at(millis)),
        ..request(call, STREAM, 2)
    }
}

#[test]
fn a_request_that_is_late_already_leaves_the_room_to_others() {
    let mut state = relay(vec![head("h1", 1), head("h2", 2)]);
    let mut rank = |call, millis| send(&mut state, with_patience(call, millis), at(0)).rank;
    assert_eq!(rank(1, 6_000), FAST_RANK);
    assert_eq!(rank(2, 4_900), SLOW_RANK, "it comes again after a second");
    assert_eq!(rank(3, 5_800), FAST_RANK, "it may still be in time");
}

#[test]
fn clients_that_wait_for_different_times_are_all_in_time() {
    let mut state = relay(vec![head("h1", 1)]);
    let mut ranks = Vec::new();
    for call in 0..60 {
        let patience = if call == 0 { 9_000 } else { 2_000 + call * 50 };
        ranks.push(send(&mut state, with_patience(call, patience), at(0)).rank);
        finish(&mut state, CallId(call));
    }
    assert!(
        ranks[20..].iter().all(|rank| *rank == FAST_RANK),
        "{ranks:?}"
    );
}
