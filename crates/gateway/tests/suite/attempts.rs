//! Outcomes of attempts at idempotent calls.

use base::prelude::*;
use gateway::{AttemptEnd, CallStep, GatewayEvent, RefusalCause, RunState};

use crate::fleet::{BOOKING_SERVICE, DESK_KEY, ENGINES, Fleet};
use crate::harness::{Harness, model_call, not_run, plain_call, refusal};

fn idempotent_call() -> gateway::CallArrival {
    plain_call(DESK_KEY, BOOKING_SERVICE, "GET /bookings", None)
}

#[test]
fn an_unsent_call_tries_the_next_target_and_is_then_refused_as_not_run() {
    let mut harness = Harness::serving(&Fleet::healthy());
    let call = harness.call(idempotent_call());
    let first = harness.last_address(call);
    harness.end_attempt(call, AttemptEnd::NotSent(not_run()));
    assert_ne!(harness.last_address(call), first);
    harness.end_attempt(call, AttemptEnd::NotSent(not_run()));
    let step = refusal(RefusalCause::NoEndpoint, RunState::NotRun(not_run()));
    assert_eq!(harness.last_step(call), Some(&step));
    assert_eq!(harness.status().calls, 0);
}

#[test]
fn a_lost_idempotent_call_is_retried_at_another_target() {
    let mut harness = Harness::serving(&Fleet::healthy());
    let call = harness.call(idempotent_call());
    let first = harness.last_address(call);
    harness.end_attempt(call, AttemptEnd::Lost);
    assert_ne!(harness.last_address(call), first);
    harness.end_attempt(call, AttemptEnd::Answered);
    assert_eq!(harness.send_count(call), 2);
    assert_eq!(harness.steps_of(call).len(), 2);
    assert_eq!(harness.status().calls, 0);
}

#[test]
fn a_call_that_may_have_run_is_never_refused_as_not_run() {
    let cases: [&[AttemptEnd]; 3] = [
        &[AttemptEnd::Lost, AttemptEnd::NotSent(not_run())],
        &[AttemptEnd::Lost, AttemptEnd::Lost],
        &[AttemptEnd::NotSent(not_run()), AttemptEnd::Lost],
    ];
    for ends in cases {
        let mut harness = Harness::serving(&Fleet::healthy());
        let call = harness.call(idempotent_call());
        for end in ends {
            harness.end_attempt(call, end.clone());
        }
        let (_, run) = harness.refused(call).expect("no target is left");
        assert_eq!(run, RunState::Unknown, "{ends:?}");
    }
}

#[test]
fn a_started_stream_without_another_group_ends_as_unknown() {
    let mut harness = Harness::serving(&Fleet::healthy());
    let call = harness.call(model_call());
    harness.handle(GatewayEvent::ResponseStarted { call });
    harness.end_attempt(call, AttemptEnd::Lost);
    let (_, run) = harness.refused(call).expect("there is one group only");
    assert_eq!(run, RunState::Unknown);
}

#[test]
fn an_attempt_lost_after_the_deadline_is_not_retried() {
    let mut harness = Harness::serving(&Fleet::healthy());
    let mut arrival = idempotent_call();
    arrival.timeout = Some(Duration::from_secs(1));
    let call = harness.call(arrival);
    harness.advance(Duration::from_secs(1));
    harness.end_attempt(call, AttemptEnd::Lost);
    let refused = harness.refused(call);
    assert_eq!(
        refused,
        Some((RefusalCause::EndpointLost, RunState::Unknown))
    );
}

#[test]
fn retries_stay_within_the_budget() {
    const CALLS: usize = 200;
    let mut harness = Harness::serving(&Fleet::healthy());
    let mut retries = 0;
    for _ in 0..CALLS {
        let call = harness.call(idempotent_call());
        harness.end_attempt(call, AttemptEnd::Lost);
        if harness.send_count(call) == 2 {
            retries += 1;
            harness.end_attempt(call, AttemptEnd::Answered);
        }
    }
    assert!(retries > 0);
    assert!(
        retries < CALLS / 2,
        "{retries} of {CALLS} calls were retried"
    );
}

#[test]
fn a_caller_that_disconnects_frees_its_slot() {
    let mut harness = Harness::serving(&Fleet::healthy());
    let call = harness.call(model_call());
    harness.disconnect(call);
    assert_eq!(harness.last_step(call), Some(&CallStep::Discard));
    assert_eq!(harness.status().calls, 0);
    harness.end_attempt(call, AttemptEnd::Lost);
    assert_eq!(
        harness.steps_of(call).len(),
        2,
        "the late outcome causes no step"
    );
}

#[test]
fn an_attempt_carries_the_known_group_and_generation() {
    let fleet = Fleet::healthy();
    let mut harness = Harness::serving(&fleet);
    let call = harness.call(model_call());
    let generation = harness.last_order(call).generation.clone().unwrap();
    assert_eq!(generation.epoch, GroupEpoch(1));
    assert_eq!(
        harness.last_address(call),
        fleet.record.groups[0].members[0].address
    );
    assert_eq!(fleet.record.groups[0].members[0].host.as_str(), ENGINES[0]);
}
