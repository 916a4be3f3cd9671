//! Non-idempotent calls: the start is recorded before the call is sent, and the
//! caller is told whether the call was run.

use base::prelude::*;
use gateway::{
    AttemptEnd, AttemptNumber, CallArrival, CallStep, GatewayEvent, RefusalCause, RunState,
};

use crate::fleet::{BOOKING_SERVICE, DESK_KEY, Fleet, TABLET_KEY};
use crate::harness::{Harness, not_run, plain_call, recorded};

const MOMENT: Duration = Duration::from_millis(200);

fn non_idempotent_call(key: &str) -> CallArrival {
    plain_call(DESK_KEY, BOOKING_SERVICE, "POST /charges", Some(key))
}

#[test]
fn nothing_is_sent_before_the_start_is_recorded_in_the_store() {
    let mut harness = Harness::serving(&Fleet::healthy());
    let call = harness.call(non_idempotent_call("k1"));
    let before = harness.store.calls();
    harness.advance(MOMENT);
    assert_eq!(harness.send_count(call), 0);
    assert_eq!(harness.store.calls(), before);
    harness.advance_with_store(MOMENT);
    assert_eq!(harness.send_count(call), 1);
    assert!(harness.last_order(call).record_response);
    harness.end_attempt(call, AttemptEnd::Recorded(recorded("charged")));
    harness.advance_with_store(MOMENT);
    let expected = CallStep::Respond(recorded("charged"));
    assert_eq!(harness.last_step(call), Some(&expected));
    assert_eq!(harness.status().calls, 0);
    assert_eq!(harness.measures, ["whole"], "its duration is measured");
}

#[test]
fn with_the_store_down_nothing_is_sent_and_nothing_was_run() {
    let mut harness = Harness::serving(&Fleet::healthy());
    harness.store.set_down(true);
    let call = harness.call(non_idempotent_call("k1"));
    harness.advance_with_store(Duration::from_secs(40));
    assert_eq!(harness.send_count(call), 0);
    let (_, run) = harness.refused(call).expect("it is refused");
    assert_eq!(run, RunState::NotRun(not_run()));
    let idempotent = harness.call(plain_call(DESK_KEY, BOOKING_SERVICE, "GET /bookings", None));
    assert_eq!(
        harness.send_count(idempotent),
        1,
        "an idempotent call needs no store"
    );
}

#[test]
fn the_outcome_of_a_lost_response_stays_unknown() {
    let mut harness = Harness::serving(&Fleet::healthy());
    let call = harness.call(non_idempotent_call("k1"));
    harness.advance_with_store(MOMENT);
    harness.end_attempt(call, AttemptEnd::Lost);
    harness.advance_with_store(Duration::from_secs(3));
    assert_eq!(harness.send_count(call), 1);
    let unknown = Some((RefusalCause::EndpointLost, RunState::Unknown));
    assert_eq!(harness.refused(call), unknown);
    let again = harness.call(non_idempotent_call("k1"));
    harness.advance_with_store(MOMENT);
    assert_eq!(harness.send_count(again), 0);
    assert_eq!(harness.refused(again), unknown);
}

#[test]
fn an_unsent_call_tries_the_next_target_under_the_same_record() {
    let mut harness = Harness::serving(&Fleet::healthy());
    let call = harness.call(non_idempotent_call("k1"));
    harness.advance_with_store(MOMENT);
    let first = harness.last_address(call);
    harness.end_attempt(call, AttemptEnd::NotSent(not_run()));
    assert_ne!(harness.last_address(call), first);
    harness.end_attempt(call, AttemptEnd::NotSent(not_run()));
    harness.advance_with_store(MOMENT);
    let refused = harness.refused(call);
    assert_eq!(
        refused,
        Some((RefusalCause::NoEndpoint, RunState::NotRun(not_run())))
    );
    let again = harness.call(non_idempotent_call("k1"));
    harness.advance_with_store(MOMENT);
    assert_eq!(
        harness.send_count(again),
        1,
        "the withdrawn record blocks no call"
    );
}

#[test]
fn the_response_is_recorded_although_the_caller_disconnected() {
    let mut harness = Harness::serving(&Fleet::healthy());
    let call = harness.call(non_idempotent_call("k1"));
    harness.advance_with_store(MOMENT);
    harness.disconnect(call);
    assert!(matches!(harness.last_step(call), Some(CallStep::Send(_))));
    harness.end_attempt(call, AttemptEnd::Recorded(recorded("charged")));
    harness.advance_with_store(MOMENT);
    let again = harness.call(non_idempotent_call("k1"));
    harness.advance_with_store(MOMENT);
    let expected = CallStep::Respond(recorded("charged"));
    assert_eq!(harness.last_step(again), Some(&expected));
    assert_eq!(harness.send_count(again), 0);
}

#[test]
fn two_callers_with_one_key_have_two_outcomes() {
    let mut harness = Harness::serving(&Fleet::healthy());
    let desk = harness.call(non_idempotent_call("k1"));
    harness.advance_with_store(MOMENT);
    harness.end_attempt(desk, AttemptEnd::Recorded(recorded("the desk's")));
    harness.advance_with_store(MOMENT);
    let tablet = harness.call(plain_call(
        TABLET_KEY,
        BOOKING_SERVICE,
        "POST /charges",
        Some("k1"),
    ));
    harness.advance_with_store(MOMENT);
    assert_eq!(harness.send_count(tablet), 1);
    harness.end_attempt(tablet, AttemptEnd::Recorded(recorded("the tablet's")));
    harness.advance_with_store(MOMENT);
    let expected = CallStep::Respond(recorded("the tablet's"));
    assert_eq!(harness.last_step(tablet), Some(&expected));
}

#[test]
fn one_key_for_two_requests_is_refused() {
    let mut harness = Harness::serving(&Fleet::healthy());
    let call = harness.call(non_idempotent_call("k1"));
    harness.advance_with_store(MOMENT);
    let other = harness.call(plain_call(
        DESK_KEY,
        BOOKING_SERVICE,
        "POST /charges/9",
        Some("k1"),
    ));
    harness.advance_with_store(MOMENT);
    let refused = harness.refused(other);
    assert_eq!(
        refused,
        Some((RefusalCause::KeyReused, RunState::NotRun(not_run())))
    );
    assert_eq!(harness.send_count(call), 1);
}

#[test]
fn three_gateways_with_one_key_send_once_and_return_one_response() {
    let fleet = Fleet::healthy();
    let mut first = Harness::serving(&fleet);
    let mut others: Vec<Harness> = (2..=3)
        .map(|index| {
            let node = format!("entry-{index}");
            let mut harness = Harness::with_store(first.store.clone(), &node, index);
            harness.read_document(1);
            harness.read_fleet(&fleet);
            harness
        })
        .collect();
    let call = first.call(non_idempotent_call("k1"));
    first.advance_with_store(MOMENT);
    let joined: Vec<CallId> = others
        .iter_mut()
        .map(|other| {
            let call = other.call(non_idempotent_call("k1"));
            other.advance_with_store(MOMENT);
            call
        })
        .collect();
    first.end_attempt(call, AttemptEnd::Recorded(recorded("charged")));
    first.advance_with_store(MOMENT);
    let expected = CallStep::Respond(recorded("charged"));
    assert_eq!(first.last_step(call), Some(&expected));
    for (other, call) in others.iter_mut().zip(joined) {
        other.advance_with_store(Duration::from_secs(2));
        assert_eq!(other.send_count(call), 0);
        assert_eq!(other.last_step(call), Some(&expected));
    }
}

#[test]
fn a_response_after_the_deadline_is_still_recorded() {
    let mut harness = Harness::serving(&Fleet::healthy());
    let mut arrival = non_idempotent_call("k1");
    arrival.timeout = Some(Duration::from_secs(1));
    let call = harness.call(arrival);
    harness.advance_with_store(MOMENT);
    harness.advance_with_store(Duration::from_secs(1));
    let running = Some((RefusalCause::StillRunning, RunState::Running));
    assert_eq!(harness.refused(call), running);
    harness.end_attempt(call, AttemptEnd::Recorded(recorded("charged")));
    harness.advance_with_store(MOMENT);
    let again = harness.call(non_idempotent_call("k1"));
    harness.advance_with_store(MOMENT);
    let expected = CallStep::Respond(recorded("charged"));
    assert_eq!(harness.last_step(again), Some(&expected));
}

#[test]
fn a_response_lost_after_the_deadline_is_recorded_as_unknown_at_once() {
    let mut harness = Harness::serving(&Fleet::healthy());
    let mut arrival = non_idempotent_call("k1");
    arrival.timeout = Some(Duration::from_secs(1));
    let call = harness.call(arrival);
    harness.advance_with_store(MOMENT);
    harness.advance_with_store(Duration::from_secs(1));
    harness.end_attempt(call, AttemptEnd::Lost);
    harness.advance_with_store(MOMENT);
    let again = harness.call(non_idempotent_call("k1"));
    harness.advance_with_store(MOMENT);
    let unknown = Some((RefusalCause::EndpointLost, RunState::Unknown));
    assert_eq!(harness.refused(again), unknown);
}

#[test]
fn a_gateway_paused_past_the_run_timeout_sends_nothing() {
    let mut harness = Harness::serving(&Fleet::healthy());
    let mut arrival = non_idempotent_call("k1");
    arrival.timeout = Some(Duration::from_secs(600));
    let call = harness.call(arrival);
    harness.advance_with_store(MOMENT);
    // After the pause, the first event is that the attempt was not sent.
    harness.now = harness.now + Duration::from_secs(120);
    harness.handle(GatewayEvent::AttemptEnded {
        call,
        attempt: AttemptNumber(1),
        end: AttemptEnd::NotSent(not_run()),
    });
    assert_eq!(harness.send_count(call), 1);
}
