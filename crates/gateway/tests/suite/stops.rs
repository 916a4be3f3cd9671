//! Readiness and planned stops.

use base::prelude::*;
use document::Document;
use gateway::{AttemptEnd, CallArrival, CallStep, GatewayEvent};
use watch::WatchEvent;

use crate::fleet::{BOOKING, DESK, Fleet};
use crate::harness::{DRAIN_LIMIT, Harness, NOTICE, model_call, plain_call, recorded};

const MOMENT: Duration = Duration::from_millis(200);

fn charge() -> CallArrival {
    plain_call(DESK, BOOKING, "POST /charges", Some("k1"))
}

#[test]
fn a_gateway_is_ready_once_it_knows_document_and_hosts() {
    let fleet = Fleet::healthy();
    let mut harness = Harness::empty();
    assert!(!harness.is_ready());
    harness.watch(WatchEvent::DocumentRead(None));
    harness.read_fleet(&fleet);
    assert!(!harness.is_ready(), "the document was not read");
    harness.read_document(1);
    assert!(harness.is_ready());
    let mut harness = Harness::empty();
    harness.read_document(1);
    assert!(!harness.is_ready(), "the hosts were not read");
}

#[test]
fn the_version_in_force_never_falls() {
    let mut harness = Harness::serving(&Fleet::healthy());
    harness.read_document(7);
    let old = Some((ObjectVersion(3), Arc::new(Document::default())));
    harness.watch(WatchEvent::DocumentRead(old));
    harness.watch(WatchEvent::DocumentRead(None));
    assert_eq!(harness.status().config.in_force.version, ObjectVersion(7));
    let call = harness.call(model_call());
    assert_eq!(harness.sends(call), 1);
}

#[test]
fn a_stop_is_unready_first_then_closed_then_finished() {
    let fleet = Fleet::healthy();
    let mut harness = Harness::serving(&fleet);
    let running = harness.call(model_call());
    harness.handle(GatewayEvent::StopRequested);
    assert!(!harness.is_ready());
    assert!(!harness.stopped_accepting);
    let late = harness.call(model_call());
    assert_eq!(harness.sends(late), 1, "it still accepts");
    harness.pass(NOTICE - Duration::from_millis(1));
    harness.hear_reports(&fleet);
    assert!(!harness.stopped_accepting);
    harness.pass(Duration::from_millis(1));
    assert!(harness.stopped_accepting);
    assert!(!harness.finished);
    for call in [running, late] {
        assert!(!harness.finished);
        harness.end(call, AttemptEnd::Answered);
    }
    harness.handle(GatewayEvent::CallersGone);
    assert!(harness.finished);
}

#[test]
fn a_second_request_to_stop_changes_nothing() {
    let mut harness = Harness::serving(&Fleet::healthy());
    harness.handle(GatewayEvent::StopRequested);
    harness.pass(NOTICE / 2);
    harness.handle(GatewayEvent::StopRequested);
    assert!(!harness.stopped_accepting);
    harness.pass(NOTICE / 2);
    assert!(harness.stopped_accepting);
    harness.handle(GatewayEvent::StopRequested);
    harness.pass(MOMENT);
    assert!(!harness.finished);
}

#[test]
fn the_drain_limit_ends_a_stop_that_a_caller_holds_up() {
    let mut harness = Harness::serving(&Fleet::healthy());
    harness.call(model_call());
    harness.handle(GatewayEvent::StopRequested);
    harness.pass(NOTICE);
    harness.pass(DRAIN_LIMIT - Duration::from_millis(1));
    assert!(!harness.finished);
    harness.pass(Duration::from_millis(1));
    assert!(harness.finished);
}

#[test]
fn a_stop_waits_for_a_charge_whose_caller_has_left() {
    let mut harness = Harness::serving(&Fleet::healthy());
    let call = harness.call(charge());
    harness.settle(MOMENT);
    harness.handle(GatewayEvent::StopRequested);
    harness.pass(NOTICE);
    harness.end(call, AttemptEnd::CallerGone);
    harness.handle(GatewayEvent::CallersGone);
    assert!(!harness.finished, "the charge is under way");
    harness.end(call, AttemptEnd::Recorded(recorded("charged")));
    assert!(!harness.finished, "its answer is not recorded");
    harness.settle(MOMENT);
    assert!(harness.finished);
    let answer = CallStep::Answer(recorded("charged"));
    assert_eq!(harness.last_step(call), Some(&answer));
}

#[test]
fn a_stop_with_the_store_down_ends_at_the_drain_limit() {
    let mut harness = Harness::serving(&Fleet::healthy());
    let call = harness.call(charge());
    harness.settle(MOMENT);
    harness.store.set_down(true);
    harness.handle(GatewayEvent::StopRequested);
    harness.settle(NOTICE);
    harness.end(call, AttemptEnd::Recorded(recorded("charged")));
    harness.handle(GatewayEvent::CallersGone);
    harness.settle(DRAIN_LIMIT / 2);
    assert!(!harness.finished, "it still tries to record the answer");
    harness.settle(DRAIN_LIMIT);
    assert!(harness.finished);
}
