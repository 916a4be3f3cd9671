//! Queued calls.

use base::prelude::*;
use gateway::{AttemptEnd, RefusalCause, RunState};
use limits::CallPriority;

use crate::fleet::Fleet;
use crate::harness::{Harness, model_call, not_run};

/// Streams that the group runs at once.
const SLOTS: usize = 2;

fn fill_slots(harness: &mut Harness) -> Vec<CallId> {
    (0..SLOTS).map(|_| harness.call(model_call())).collect()
}

#[test]
fn a_call_waits_for_a_slot_and_gets_the_next_one() {
    let mut harness = Harness::serving(&Fleet::healthy());
    let running = fill_slots(&mut harness);
    let waiting = harness.call(model_call());
    assert!(harness.steps_of(waiting).is_empty());
    harness.end_attempt(running[0], AttemptEnd::Answered);
    assert_eq!(harness.send_count(waiting), 1);
}

#[test]
fn a_call_that_waits_past_its_deadline_was_not_run() {
    let fleet = Fleet::healthy();
    let mut harness = Harness::serving(&fleet);
    fill_slots(&mut harness);
    let mut arrival = model_call();
    arrival.timeout = Some(Duration::from_secs(5));
    let waiting = harness.call(arrival);
    assert!(harness.steps_of(waiting).is_empty());
    for _ in 0..6 {
        harness.advance(Duration::from_secs(1));
        harness.receive_reports(&fleet);
    }
    let refused = harness.refused(waiting);
    assert_eq!(
        refused,
        Some((RefusalCause::Deadline, RunState::NotRun(not_run())))
    );
    assert_eq!(harness.status().calls, SLOTS);
}

#[test]
fn a_call_that_cannot_start_in_time_is_refused_at_once() {
    let mut harness = Harness::serving(&Fleet::healthy());
    fill_slots(&mut harness);
    let mut arrival = model_call();
    arrival.timeout = Some(Duration::from_millis(1));
    let call = harness.call(arrival);
    let refused = harness.refused(call);
    assert_eq!(
        refused,
        Some((RefusalCause::Deadline, RunState::NotRun(not_run())))
    );
}

#[test]
fn a_full_queue_refuses_new_calls_but_admits_a_higher_priority() {
    const TIMEOUT: Duration = Duration::from_secs(3_000);
    let mut harness = Harness::serving(&Fleet::healthy());
    fill_slots(&mut harness);
    let mut waiting = Vec::new();
    let refused = loop {
        let mut arrival = model_call();
        arrival.timeout = Some(TIMEOUT);
        let call = harness.call(arrival);
        match harness.refused(call) {
            None => waiting.push(call),
            refused => break refused,
        }
    };
    assert_eq!(
        refused,
        Some((RefusalCause::Overloaded, RunState::NotRun(not_run())))
    );
    let mut arrival = model_call();
    arrival.timeout = Some(TIMEOUT);
    arrival.priority = CallPriority::High;
    let urgent = harness.call(arrival);
    assert!(
        harness.steps_of(urgent).is_empty(),
        "a queued call gets no step"
    );
    let displaced = waiting
        .iter()
        .filter(|&&call| harness.refused(call).is_some());
    let displaced: Vec<_> = displaced.collect();
    assert_eq!(displaced.len(), 1);
    let refused = harness.refused(*displaced[0]);
    assert_eq!(
        refused,
        Some((RefusalCause::Overloaded, RunState::NotRun(not_run())))
    );
}

#[test]
fn a_queued_call_whose_caller_disconnects_is_removed() {
    let mut harness = Harness::serving(&Fleet::healthy());
    let running = fill_slots(&mut harness);
    let waiting = harness.call(model_call());
    harness.disconnect(waiting);
    harness.end_attempt(running[0], AttemptEnd::Answered);
    assert_eq!(harness.send_count(waiting), 0);
    assert_eq!(harness.status().calls, SLOTS - 1);
}

#[test]
fn without_a_group_a_call_is_refused_at_once() {
    let mut harness = Harness::empty();
    harness.read_document(1);
    let call = harness.call(model_call());
    let refused = harness.refused(call);
    assert_eq!(
        refused,
        Some((RefusalCause::NoEndpoint, RunState::NotRun(not_run())))
    );
}
