//! Non-idempotent calls: marked before they are sent, and told honestly after.

use base::prelude::*;
use gateway::{AttemptEnd, CallArrival, CallStep, GatewayEvent, RefusalCause, RunState};

use crate::fleet::{BOOKING, DESK, Fleet, TABLET};
use crate::harness::{Harness, plain_call, recorded};

const MOMENT: Duration = Duration::from_millis(200);

fn charge(key: &str) -> CallArrival {
    plain_call(DESK, BOOKING, "POST /charges", Some(key))
}

#[test]
fn nothing_is_sent_before_the_mark_is_in_the_store() {
    let mut harness = Harness::serving(&Fleet::healthy());
    let call = harness.call(charge("k1"));
    let before = harness.store.calls();
    harness.pass(MOMENT);
    assert_eq!(harness.sends(call), 0);
    assert_eq!(harness.store.calls(), before);
    harness.settle(MOMENT);
    assert_eq!(harness.sends(call), 1);
    assert!(harness.sent(call).record);
    harness.end(call, AttemptEnd::Recorded(recorded("charged")));
    harness.settle(MOMENT);
    let answer = CallStep::Answer(recorded("charged"));
    assert_eq!(harness.last_step(call), Some(&answer));
    assert_eq!(harness.status().calls, 0);
    assert_eq!(harness.measures, ["whole"], "its time is in the histograms");
}

#[test]
fn with_the_store_down_nothing_is_sent_and_nothing_was_run() {
    let mut harness = Harness::serving(&Fleet::healthy());
    harness.store.set_down(true);
    let call = harness.call(charge("k1"));
    harness.settle(Duration::from_secs(40));
    assert_eq!(harness.sends(call), 0);
    let (_, run) = harness.refused(call).expect("it is refused");
    assert_eq!(run, RunState::NotRun);
    let reading = harness.call(plain_call(DESK, BOOKING, "GET /bookings", None));
    assert_eq!(harness.sends(reading), 1, "idempotent calls go on");
}

#[test]
fn a_lost_answer_is_unknown_for_good() {
    let mut harness = Harness::serving(&Fleet::healthy());
    let call = harness.call(charge("k1"));
    harness.settle(MOMENT);
    harness.end(call, AttemptEnd::Lost);
    harness.settle(Duration::from_secs(3));
    assert_eq!(harness.sends(call), 1);
    let unknown = Some((RefusalCause::EndpointLost, RunState::Unknown));
    assert_eq!(harness.refused(call), unknown);
    let again = harness.call(charge("k1"));
    harness.settle(MOMENT);
    assert_eq!(harness.sends(again), 0);
    assert_eq!(harness.refused(again), unknown);
}

#[test]
fn a_charge_that_was_not_sent_goes_elsewhere_under_the_same_mark() {
    let mut harness = Harness::serving(&Fleet::healthy());
    let call = harness.call(charge("k1"));
    harness.settle(MOMENT);
    let first = harness.sent_to(call);
    harness.end(call, AttemptEnd::NotSent);
    assert_ne!(harness.sent_to(call), first);
    harness.end(call, AttemptEnd::NotSent);
    harness.settle(MOMENT);
    let refused = harness.refused(call);
    assert_eq!(refused, Some((RefusalCause::NoEndpoint, RunState::NotRun)));
    let again = harness.call(charge("k1"));
    harness.settle(MOMENT);
    assert_eq!(harness.sends(again), 1, "the withdrawn mark bars nobody");
}

#[test]
fn the_answer_is_recorded_although_the_caller_left() {
    let mut harness = Harness::serving(&Fleet::healthy());
    let call = harness.call(charge("k1"));
    harness.settle(MOMENT);
    harness.end(call, AttemptEnd::CallerGone);
    assert!(matches!(harness.last_step(call), Some(CallStep::Send(_))));
    harness.end(call, AttemptEnd::Recorded(recorded("charged")));
    harness.settle(MOMENT);
    let again = harness.call(charge("k1"));
    harness.settle(MOMENT);
    let answer = CallStep::Answer(recorded("charged"));
    assert_eq!(harness.last_step(again), Some(&answer));
    assert_eq!(harness.sends(again), 0);
}

#[test]
fn two_callers_with_one_key_have_two_outcomes() {
    let mut harness = Harness::serving(&Fleet::healthy());
    let replies = harness.call(charge("k1"));
    harness.settle(MOMENT);
    harness.end(replies, AttemptEnd::Recorded(recorded("the desk's")));
    harness.settle(MOMENT);
    let tablet = harness.call(plain_call(TABLET, BOOKING, "POST /charges", Some("k1")));
    harness.settle(MOMENT);
    assert_eq!(harness.sends(tablet), 1);
    harness.end(tablet, AttemptEnd::Recorded(recorded("the tablet's")));
    harness.settle(MOMENT);
    let answer = CallStep::Answer(recorded("the tablet's"));
    assert_eq!(harness.last_step(tablet), Some(&answer));
}

#[test]
fn one_key_for_two_requests_is_refused() {
    let mut harness = Harness::serving(&Fleet::healthy());
    let call = harness.call(charge("k1"));
    harness.settle(MOMENT);
    let other = harness.call(plain_call(DESK, BOOKING, "POST /charges/9", Some("k1")));
    harness.settle(MOMENT);
    let refused = harness.refused(other);
    assert_eq!(refused, Some((RefusalCause::KeyReused, RunState::NotRun)));
    assert_eq!(harness.sends(call), 1);
}

#[test]
fn three_gateways_with_one_key_send_once_and_tell_one_answer() {
    let fleet = Fleet::healthy();
    let mut first = Harness::serving(&fleet);
    let mut others: Vec<Harness> = (2..=3)
        .map(|index| {
            let node = format!("entry-{index}");
            let mut harness = Harness::before(first.store.clone(), &node, index);
            harness.read_document(1);
            harness.read_fleet(&fleet);
            harness
        })
        .collect();
    let call = first.call(charge("k1"));
    first.settle(MOMENT);
    let joined: Vec<CallId> = others
        .iter_mut()
        .map(|other| {
            let call = other.call(charge("k1"));
            other.settle(MOMENT);
            call
        })
        .collect();
    first.end(call, AttemptEnd::Recorded(recorded("charged")));
    first.settle(MOMENT);
    let answer = CallStep::Answer(recorded("charged"));
    assert_eq!(first.last_step(call), Some(&answer));
    for (other, call) in others.iter_mut().zip(joined) {
        other.settle(Duration::from_secs(2));
        assert_eq!(other.sends(call), 0);
        assert_eq!(other.last_step(call), Some(&answer));
    }
}

#[test]
fn an_answer_after_the_deadline_is_still_recorded() {
    let mut harness = Harness::serving(&Fleet::healthy());
    let mut arrival = charge("k1");
    arrival.timeout = Some(Duration::from_secs(1));
    let call = harness.call(arrival);
    harness.settle(MOMENT);
    harness.settle(Duration::from_secs(1));
    let running = Some((RefusalCause::StillRunning, RunState::Running));
    assert_eq!(harness.refused(call), running);
    harness.end(call, AttemptEnd::Recorded(recorded("charged")));
    harness.settle(MOMENT);
    let again = harness.call(charge("k1"));
    harness.settle(MOMENT);
    let answer = CallStep::Answer(recorded("charged"));
    assert_eq!(harness.last_step(again), Some(&answer));
}

#[test]
fn an_answer_lost_at_the_deadline_is_known_to_be_lost_at_once() {
    let mut harness = Harness::serving(&Fleet::healthy());
    let mut arrival = charge("k1");
    arrival.timeout = Some(Duration::from_secs(1));
    let call = harness.call(arrival);
    harness.settle(MOMENT);
    harness.settle(Duration::from_secs(1));
    harness.end(call, AttemptEnd::Lost);
    harness.settle(MOMENT);
    let again = harness.call(charge("k1"));
    harness.settle(MOMENT);
    let unknown = Some((RefusalCause::EndpointLost, RunState::Unknown));
    assert_eq!(harness.refused(again), unknown);
}

#[test]
fn a_gateway_paused_past_the_run_limit_sends_nothing() {
    let mut harness = Harness::serving(&Fleet::healthy());
    let mut arrival = charge("k1");
    arrival.timeout = Some(Duration::from_secs(600));
    let call = harness.call(arrival);
    harness.settle(MOMENT);
    // It wakes up and hears first that its attempt was not sent.
    harness.now = harness.now + Duration::from_secs(120);
    harness.handle(GatewayEvent::AttemptEnded {
        call,
        end: AttemptEnd::NotSent,
    });
    assert_eq!(harness.sends(call), 1);
}
