//! Authorization of calls, and what refused callers find out.

use base::prelude::*;
use gateway::{CallArrival, RefusalCause, RunState};

use crate::fleet::{
    BOOKING_SERVICE, CLINIC_KEY, DESK_KEY, Fleet, MODEL_SERVICE, ORDERS_SERVICE, TABLET_KEY,
};
use crate::harness::{Harness, model_call, not_run, plain_call};

#[test]
fn unauthorized_calls_are_refused_as_not_run() {
    let model_of_plain = CallArrival {
        service: ServiceName::new(BOOKING_SERVICE).unwrap(),
        ..model_call()
    };
    let model_of_missing = CallArrival {
        service: ServiceName::new("nowhere").unwrap(),
        ..model_call()
    };
    let cases = [
        (
            "an unknown key",
            plain_call("guess", BOOKING_SERVICE, "GET /", None),
            RefusalCause::UnknownKey,
        ),
        (
            "an empty key",
            plain_call("", BOOKING_SERVICE, "GET /", None),
            RefusalCause::UnknownKey,
        ),
        (
            "a service that doesn't exist",
            plain_call(DESK_KEY, "nowhere", "GET /", None),
            RefusalCause::UnknownService,
        ),
        (
            "another workspace's service",
            plain_call(DESK_KEY, ORDERS_SERVICE, "GET /", None),
            RefusalCause::UnknownService,
        ),
        (
            "another workspace's service, the other way round",
            plain_call(CLINIC_KEY, BOOKING_SERVICE, "GET /", None),
            RefusalCause::UnknownService,
        ),
        (
            "a model that doesn't exist",
            model_of_missing,
            RefusalCause::UnknownService,
        ),
        (
            "a plain service as a model",
            model_of_plain,
            RefusalCause::WrongKind,
        ),
        (
            "a model as a plain service",
            plain_call(DESK_KEY, MODEL_SERVICE, "GET /", None),
            RefusalCause::WrongKind,
        ),
        (
            "a charge without a key",
            plain_call(DESK_KEY, BOOKING_SERVICE, "POST /charges", None),
            RefusalCause::KeyMissing,
        ),
        (
            "a charge below the path without a key",
            plain_call(DESK_KEY, BOOKING_SERVICE, "POST /charges/7", None),
            RefusalCause::KeyMissing,
        ),
        (
            "a charge by an encoded path without a key",
            plain_call(DESK_KEY, BOOKING_SERVICE, "POST /%63harges", None),
            RefusalCause::KeyMissing,
        ),
        (
            "a charge by a doubled slash without a key",
            plain_call(DESK_KEY, BOOKING_SERVICE, "POST //charges", None),
            RefusalCause::KeyMissing,
        ),
        (
            "a charge by a dotted path without a key",
            plain_call(DESK_KEY, BOOKING_SERVICE, "POST /x/../charges", None),
            RefusalCause::KeyMissing,
        ),
        (
            "a charge by a method in small letters without a key",
            plain_call(DESK_KEY, BOOKING_SERVICE, "post /charges", None),
            RefusalCause::KeyMissing,
        ),
    ];
    for (case, arrival, cause) in cases {
        let mut harness = Harness::serving(&Fleet::healthy());
        let call = harness.call(arrival);
        assert_eq!(
            harness.refused(call),
            Some((cause, RunState::NotRun(not_run()))),
            "{case}"
        );
        assert!(
            harness.ledger_operations.is_empty(),
            "{case}: the store was called"
        );
        assert_eq!(harness.status().calls, 0, "{case}");
    }
}

#[test]
fn every_key_is_unknown_before_the_document_is_read() {
    let mut harness = Harness::empty();
    harness.read_fleet(&Fleet::healthy());
    let call = harness.call(model_call());
    let refused = harness.refused(call);
    assert_eq!(
        refused,
        Some((RefusalCause::UnknownKey, RunState::NotRun(not_run())))
    );
}

#[test]
fn only_a_non_idempotent_call_is_recorded_before_it_is_sent() {
    let mut harness = Harness::serving(&Fleet::healthy());
    let idempotent = harness.call(plain_call(
        TABLET_KEY,
        BOOKING_SERVICE,
        "GET /charges",
        None,
    ));
    assert_eq!(harness.send_count(idempotent), 1);
    assert!(!harness.last_order(idempotent).record_response);
    let non_idempotent = harness.call(plain_call(
        TABLET_KEY,
        BOOKING_SERVICE,
        "POST /charges",
        Some("k1"),
    ));
    assert_eq!(harness.send_count(non_idempotent), 0);
    assert!(!harness.ledger_operations.is_empty());
}
