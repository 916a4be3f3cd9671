//! Silent endpoints: a call gives one up only for another that goes on.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use base::prelude::*;
use gateway::{AttemptEnd, AttemptNumber, CallStep, GatewayEvent, RefusalCause, RunState};
use watch::WatchEvent;

use crate::fleet::{BOOKING_SERVICE, DESK_KEY, Fleet};
use crate::harness::{Harness, REPORT_VALIDITY, model_call, not_run, plain_call};

/// Longest time for which a call waits for silent endpoints only.
const MAX_HOLD: Duration = Duration::from_secs(5);
/// Streams that a group runs at once.
const SLOTS: usize = 2;
/// Longer than the time between two tries to send a held call.
const MOMENT: Duration = Duration::from_millis(200);
const FIRST: AttemptNumber = AttemptNumber(1);
const SECOND: AttemptNumber = AttemptNumber(2);

/// Starts a stream.
fn start_stream(harness: &mut Harness) -> CallId {
    let call = harness.call(model_call());
    assert_eq!(harness.send_count(call), 1);
    harness.handle(GatewayEvent::ResponseStarted { call });
    call
}

/// Gateway with two groups and running streams.
fn serving_streams(count: usize) -> (Harness, Vec<CallId>) {
    let mut harness = Harness::serving(&Fleet::with_two_groups());
    let streams = (0..count).map(|_| start_stream(&mut harness)).collect();
    (harness, streams)
}

/// Streams by the address of their group.
fn by_address(harness: &Harness, streams: &[CallId]) -> BTreeMap<SocketAddr, Vec<CallId>> {
    let mut groups: BTreeMap<SocketAddr, Vec<CallId>> = BTreeMap::new();
    for &call in streams {
        groups
            .entry(harness.last_address(call))
            .or_default()
            .push(call);
    }
    groups
}

/// Idempotent call of a plain service whose retry budget is exhausted.
fn call_without_budget(harness: &mut Harness) -> CallId {
    let arrival = || plain_call(DESK_KEY, BOOKING_SERVICE, "GET /bookings", None);
    loop {
        let call = harness.call(arrival());
        harness.end_attempt(call, AttemptEnd::Lost);
        if harness.refused(call).is_some() {
            return harness.call(arrival());
        }
        harness.end_attempt(call, AttemptEnd::Answered);
    }
}

#[test]
fn streams_of_a_silent_group_are_not_cut_when_the_others_are_full() {
    let (mut harness, streams) = serving_streams(2 * SLOTS);
    for &call in &streams {
        harness.silence(call, FIRST);
    }
    harness.advance(MOMENT);
    for call in streams {
        assert_eq!(harness.send_count(call), 1);
        harness.progress(call, FIRST);
        harness.end_attempt(call, AttemptEnd::Answered);
        assert_eq!(harness.steps_of(call).len(), 1);
    }
    assert_eq!(harness.status().calls, 0);
}

#[test]
fn streams_that_fall_silent_together_share_the_last_free_slot_and_none_is_cut() {
    let (mut harness, streams) = serving_streams(2 * SLOTS - 1);
    let groups = by_address(&harness, &streams);
    let full = groups.values().find(|calls| calls.len() == SLOTS).unwrap();
    for &call in full {
        harness.silence(call, FIRST);
    }
    harness.advance(MOMENT);
    let moved = |harness: &Harness, call: &&CallId| harness.send_count(**call) == 2;
    assert_eq!(full.iter().filter(|call| moved(&harness, call)).count(), 1);
    for &call in full {
        assert_eq!(harness.refused(call), None);
        let attempt = AttemptNumber(harness.send_count(call) as u32);
        harness.progress(call, attempt);
        harness.end_numbered(call, attempt, AttemptEnd::Answered);
        assert_eq!(harness.refused(call), None);
    }
    assert_eq!(harness.status().calls, 1);
}

#[test]
fn a_silent_call_without_retry_budget_keeps_its_endpoint() {
    let mut harness = Harness::serving(&Fleet::healthy());
    let call = call_without_budget(&mut harness);
    harness.silence(call, FIRST);
    harness.advance(MOMENT);
    assert_eq!(harness.steps_of(call).len(), 1);
    harness.progress(call, FIRST);
    harness.end_attempt(call, AttemptEnd::Answered);
    assert_eq!(harness.steps_of(call).len(), 1);
}

#[test]
fn a_held_stream_moves_as_soon_as_a_slot_is_free() {
    let (mut harness, streams) = serving_streams(2 * SLOTS);
    let groups = by_address(&harness, &streams);
    let mut groups = groups.values();
    let (silent, other) = (groups.next().unwrap(), groups.next().unwrap());
    harness.silence(silent[0], FIRST);
    assert_eq!(harness.send_count(silent[0]), 1);
    harness.end_attempt(other[0], AttemptEnd::Answered);
    harness.advance(MOMENT);
    assert_eq!(harness.send_count(silent[0]), 2);
    assert_eq!(
        harness.last_address(silent[0]),
        harness.last_address(other[1])
    );
}

#[test]
fn a_next_attempt_that_fails_costs_a_silent_stream_nothing() {
    for end in [AttemptEnd::Lost, AttemptEnd::NotSent(not_run())] {
        let (mut harness, streams) = serving_streams(1);
        let call = streams[0];
        harness.silence(call, FIRST);
        assert_eq!(harness.send_count(call), 2);
        harness.end_numbered(call, SECOND, end.clone());
        harness.advance(MOMENT);
        assert_eq!(harness.refused(call), None, "{end:?}");
        harness.progress(call, FIRST);
        harness.end_numbered(call, FIRST, AttemptEnd::Answered);
        assert_eq!(harness.steps_of(call).len(), 2, "{end:?}");
        assert_eq!(harness.status().calls, 0, "{end:?}");
    }
}

#[test]
fn the_first_attempt_that_goes_on_ends_the_other_and_frees_its_slot() {
    for (first, other) in [(FIRST, SECOND), (SECOND, FIRST)] {
        let (mut harness, streams) = serving_streams(2 * SLOTS - 1);
        let groups = by_address(&harness, &streams);
        let full = groups.values().find(|calls| calls.len() == SLOTS).unwrap();
        let call = full[0];
        harness.silence(call, FIRST);
        assert_eq!(harness.send_count(call), 2);
        harness.progress(call, first);
        assert_eq!(harness.last_step(call), Some(&CallStep::Abort(other)));
        let late = start_stream(&mut harness);
        let is_beside = harness.last_address(late) == harness.last_address(full[1]);
        assert_eq!(is_beside, other == FIRST);
    }
}

#[test]
fn a_stream_that_stays_silent_is_refused_after_the_longest_hold_and_not_before() {
    let mut harness = Harness::serving(&Fleet::healthy());
    let call = start_stream(&mut harness);
    harness.silence(call, FIRST);
    let steps = u32::try_from(MAX_HOLD.as_millis() / MOMENT.as_millis()).unwrap();
    for _ in 1..steps {
        harness.advance(MOMENT);
        harness.receive_reports(&Fleet::healthy());
        assert_eq!(harness.refused(call), None);
    }
    harness.advance(MOMENT);
    let expected = Some((RefusalCause::EndpointLost, RunState::Unknown));
    assert_eq!(harness.refused(call), expected);
    assert_eq!(harness.status().calls, 0);
}

#[test]
fn a_broken_endpoint_is_left_at_once() {
    let (mut harness, streams) = serving_streams(1);
    let call = streams[0];
    let first = harness.last_address(call);
    harness.end_attempt(call, AttemptEnd::Lost);
    assert_ne!(harness.last_address(call), first);
}

#[test]
fn a_stream_fails_over_after_both_of_its_attempts_are_lost() {
    let (mut harness, streams) = serving_streams(1);
    let call = streams[0];
    harness.silence(call, FIRST);
    harness.end_numbered(call, FIRST, AttemptEnd::Lost);
    assert_eq!(harness.refused(call), None);
    harness.end_numbered(call, SECOND, AttemptEnd::Lost);
    let (_, run) = harness.refused(call).expect("no third group is there");
    assert_eq!(run, RunState::Unknown);
}

#[test]
fn a_non_idempotent_call_is_never_sent_beside_its_silent_endpoint() {
    let mut harness = Harness::serving(&Fleet::healthy());
    let arrival = plain_call(DESK_KEY, BOOKING_SERVICE, "POST /charges", Some("k1"));
    let call = harness.call(arrival);
    harness.advance_with_store(MOMENT);
    assert_eq!(harness.send_count(call), 1);
    harness.silence(call, FIRST);
    harness.advance_with_store(MOMENT);
    assert_eq!(harness.send_count(call), 1);
}

#[test]
fn a_gateway_that_gets_no_reports_cuts_no_stream() {
    let fleet = Fleet::with_two_groups();
    let (mut harness, streams) = serving_streams(2 * SLOTS);
    harness.advance(REPORT_VALIDITY);
    for &call in &streams {
        assert_eq!(harness.last_step(call), Some(&CallStep::Suspend(FIRST)));
    }
    harness.advance(MOMENT);
    harness.receive_reports(&fleet);
    for &call in &streams {
        assert_eq!(harness.last_step(call), Some(&CallStep::Resume(FIRST)));
        assert_eq!(harness.send_count(call), 1);
    }
}

#[test]
fn no_stream_is_cut_when_all_groups_fall_silent_whatever_the_number_of_nodes() {
    for nodes in [1, 7, 195] {
        let mut harness = Harness::serving(&Fleet::with_two_groups());
        harness.watch(WatchEvent::GatewaysCounted(Some(nodes)));
        let calls: Vec<CallId> = (0..2 * SLOTS).map(|_| harness.call(model_call())).collect();
        let is_sent = |call: &CallId| harness.send_count(*call) == 1;
        let streams: Vec<CallId> = calls.into_iter().filter(is_sent).collect();
        assert!(!streams.is_empty(), "{nodes} nodes");
        for &call in &streams {
            harness.handle(GatewayEvent::ResponseStarted { call });
            harness.silence(call, FIRST);
        }
        harness.advance(MOMENT);
        for &call in &streams {
            if harness.send_count(call) == 2 {
                harness.end_numbered(call, SECOND, AttemptEnd::Lost);
            }
            harness.advance(MOMENT);
            assert_eq!(harness.refused(call), None, "{nodes} nodes");
            harness.progress(call, FIRST);
            harness.end_numbered(call, FIRST, AttemptEnd::Answered);
            assert_eq!(harness.refused(call), None, "{nodes} nodes");
        }
    }
}
