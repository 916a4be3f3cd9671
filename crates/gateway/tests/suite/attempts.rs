//! What follows an attempt at an idempotent call.

use base::prelude::*;
use gateway::{AttemptEnd, CallStep, GatewayEvent, RefusalCause, RunState};

use crate::fleet::{BOOKING, DESK, ENGINES, Fleet};
use crate::harness::{Harness, model_call, plain_call, refusal};

fn reading() -> gateway::CallArrival {
    plain_call(DESK, BOOKING, "GET /bookings", None)
}

#[test]
fn what_was_not_sent_goes_elsewhere_and_then_was_not_run() {
    let mut harness = Harness::serving(&Fleet::healthy());
    let call = harness.call(reading());
    let first = harness.sent_to(call);
    harness.end(call, AttemptEnd::NotSent);
    assert_ne!(harness.sent_to(call), first);
    harness.end(call, AttemptEnd::NotSent);
    let step = refusal(RefusalCause::NoEndpoint, RunState::NotRun);
    assert_eq!(harness.last_step(call), Some(&step));
    assert_eq!(harness.status().calls, 0);
}

#[test]
fn a_lost_answer_is_asked_for_elsewhere() {
    let mut harness = Harness::serving(&Fleet::healthy());
    let call = harness.call(reading());
    let first = harness.sent_to(call);
    harness.end(call, AttemptEnd::Lost);
    assert_ne!(harness.sent_to(call), first);
    harness.end(call, AttemptEnd::Answered);
    assert_eq!(harness.sends(call), 2);
    assert_eq!(harness.steps_of(call).len(), 2);
    assert_eq!(harness.status().calls, 0);
}

#[test]
fn a_call_that_may_have_run_is_never_told_not_run() {
    let tables: [&[AttemptEnd]; 3] = [
        &[AttemptEnd::Lost, AttemptEnd::NotSent],
        &[AttemptEnd::Lost, AttemptEnd::Lost],
        &[AttemptEnd::NotSent, AttemptEnd::Lost],
    ];
    for ends in tables {
        let mut harness = Harness::serving(&Fleet::healthy());
        let call = harness.call(reading());
        for end in ends {
            harness.end(call, end.clone());
        }
        let (_, run) = harness.refused(call).expect("no target is left");
        assert_eq!(run, RunState::Unknown, "{ends:?}");
    }
}

#[test]
fn a_stream_that_began_and_has_no_other_group_ends_as_unknown() {
    let mut harness = Harness::serving(&Fleet::healthy());
    let call = harness.call(model_call());
    harness.handle(GatewayEvent::AnswerBegan { call });
    harness.end(call, AttemptEnd::Lost);
    let (_, run) = harness.refused(call).expect("there is one group only");
    assert_eq!(run, RunState::Unknown);
}

#[test]
fn an_attempt_lost_after_the_deadline_is_not_repeated() {
    let mut harness = Harness::serving(&Fleet::healthy());
    let mut arrival = reading();
    arrival.timeout = Some(Duration::from_secs(1));
    let call = harness.call(arrival);
    harness.pass(Duration::from_secs(1));
    harness.end(call, AttemptEnd::Lost);
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
        let call = harness.call(reading());
        harness.end(call, AttemptEnd::Lost);
        if harness.sends(call) == 2 {
            retries += 1;
            harness.end(call, AttemptEnd::Answered);
        }
    }
    assert!(retries > 0);
    assert!(
        retries < CALLS / 2,
        "{retries} of {CALLS} calls were retried"
    );
}

#[test]
fn a_caller_that_leaves_frees_its_slot() {
    let mut harness = Harness::serving(&Fleet::healthy());
    let call = harness.call(model_call());
    harness.end(call, AttemptEnd::CallerGone);
    assert_eq!(harness.last_step(call), Some(&CallStep::Forget));
    assert_eq!(harness.status().calls, 0);
    harness.end(call, AttemptEnd::Lost);
    assert_eq!(
        harness.steps_of(call).len(),
        2,
        "its late end tells nothing"
    );
}

#[test]
fn an_attempt_is_meant_for_the_group_and_generation_that_were_seen() {
    let fleet = Fleet::healthy();
    let mut harness = Harness::serving(&fleet);
    let call = harness.call(model_call());
    let place = harness.sent(call).place.clone().unwrap();
    assert_eq!(place.epoch, GroupEpoch(1));
    assert_eq!(
        harness.sent_to(call),
        fleet.record.groups[0].members[0].address
    );
    assert_eq!(fleet.record.groups[0].members[0].host.as_str(), ENGINES[0]);
}
