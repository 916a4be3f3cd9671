//! Readiness and graceful shutdown.

use base::prelude::*;
use document::Document;
use gateway::{AttemptEnd, CallArrival, CallStep, GatewayEvent};
use watch::WatchEvent;

use crate::fleet::{BOOKING_SERVICE, DESK_KEY, Fleet};
use crate::harness::{BALANCER_NOTICE, DRAIN_LIMIT, Harness, model_call, plain_call, recorded};

const MOMENT: Duration = Duration::from_millis(200);

fn non_idempotent_call() -> CallArrival {
    plain_call(DESK_KEY, BOOKING_SERVICE, "POST /charges", Some("k1"))
}

#[test]
fn a_gateway_is_ready_once_document_and_hosts_were_read() {
    let fleet = Fleet::healthy();
    let mut harness = Harness::empty();
    assert!(!harness.is_ready());
    harness.watch(WatchEvent::DocumentRead(None));
    harness.read_fleet(&fleet);
    assert!(!harness.is_ready(), "ready without the document");
    harness.read_document(1);
    assert!(harness.is_ready());
    let mut harness = Harness::empty();
    harness.read_document(1);
    assert!(!harness.is_ready(), "ready without the hosts");
}

#[test]
fn the_version_in_force_never_decreases() {
    let mut harness = Harness::serving(&Fleet::healthy());
    harness.read_document(7);
    let old = Some((ObjectVersion(3), Arc::new(Document::default())));
    harness.watch(WatchEvent::DocumentRead(old));
    harness.watch(WatchEvent::DocumentRead(None));
    assert_eq!(harness.status().config.in_force.version, ObjectVersion(7));
    let call = harness.call(model_call());
    assert_eq!(harness.send_count(call), 1);
}

#[test]
fn a_shutdown_is_not_ready_first_then_draining_then_finished() {
    let fleet = Fleet::healthy();
    let mut harness = Harness::serving(&fleet);
    let running = harness.call(model_call());
    harness.handle(GatewayEvent::ShutdownRequested);
    assert!(!harness.is_ready());
    assert!(!harness.stopped_accepting);
    let late = harness.call(model_call());
    assert_eq!(
        harness.send_count(late),
        1,
        "a gateway that is not ready still accepts calls"
    );
    harness.advance(BALANCER_NOTICE - Duration::from_millis(1));
    harness.receive_reports(&fleet);
    assert!(!harness.stopped_accepting);
    harness.advance(Duration::from_millis(1));
    assert!(harness.stopped_accepting);
    assert!(!harness.finished);
    for call in [running, late] {
        assert!(!harness.finished);
        harness.end_attempt(call, AttemptEnd::Answered);
    }
    harness.handle(GatewayEvent::CallersDisconnected);
    assert!(harness.finished);
}

#[test]
fn a_second_shutdown_request_changes_nothing() {
    let mut harness = Harness::serving(&Fleet::healthy());
    harness.handle(GatewayEvent::ShutdownRequested);
    harness.advance(BALANCER_NOTICE / 2);
    harness.handle(GatewayEvent::ShutdownRequested);
    assert!(!harness.stopped_accepting);
    harness.advance(BALANCER_NOTICE / 2);
    assert!(harness.stopped_accepting);
    harness.handle(GatewayEvent::ShutdownRequested);
    harness.advance(MOMENT);
    assert!(!harness.finished);
}

#[test]
fn the_drain_limit_ends_a_shutdown_despite_a_call_in_flight() {
    let mut harness = Harness::serving(&Fleet::healthy());
    harness.call(model_call());
    harness.handle(GatewayEvent::ShutdownRequested);
    harness.advance(BALANCER_NOTICE);
    harness.advance(DRAIN_LIMIT - Duration::from_millis(1));
    assert!(!harness.finished);
    harness.advance(Duration::from_millis(1));
    assert!(harness.finished);
}

#[test]
fn a_shutdown_waits_for_a_non_idempotent_call_whose_caller_disconnected() {
    let mut harness = Harness::serving(&Fleet::healthy());
    let call = harness.call(non_idempotent_call());
    harness.advance_with_store(MOMENT);
    harness.handle(GatewayEvent::ShutdownRequested);
    harness.advance(BALANCER_NOTICE);
    harness.disconnect(call);
    harness.handle(GatewayEvent::CallersDisconnected);
    assert!(!harness.finished, "the call is in flight");
    harness.end_attempt(call, AttemptEnd::Recorded(recorded("charged")));
    assert!(!harness.finished, "the response is not recorded");
    harness.advance_with_store(MOMENT);
    assert!(harness.finished);
    let expected = CallStep::Respond(recorded("charged"));
    assert_eq!(harness.last_step(call), Some(&expected));
}

#[test]
fn a_shutdown_with_the_store_down_ends_at_the_drain_limit() {
    let mut harness = Harness::serving(&Fleet::healthy());
    let call = harness.call(non_idempotent_call());
    harness.advance_with_store(MOMENT);
    harness.store.set_down(true);
    harness.handle(GatewayEvent::ShutdownRequested);
    harness.advance_with_store(BALANCER_NOTICE);
    harness.end_attempt(call, AttemptEnd::Recorded(recorded("charged")));
    harness.handle(GatewayEvent::CallersDisconnected);
    harness.advance_with_store(DRAIN_LIMIT / 2);
    assert!(!harness.finished, "it still tries to record the response");
    harness.advance_with_store(DRAIN_LIMIT);
    assert!(harness.finished);
}
