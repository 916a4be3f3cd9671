//! Who may call what, and what the others learn.

use base::prelude::*;
use gateway::{CallArrival, RefusalCause, RunState};

use crate::fleet::{BOOKING, CLINIC, DESK, Fleet, LLM, ORDERS, TABLET};
use crate::harness::{Harness, model_call, plain_call};

#[test]
fn calls_that_may_not_be_made_are_refused_as_not_run() {
    let model_of_plain = CallArrival {
        service: ServiceName::new(BOOKING).unwrap(),
        ..model_call()
    };
    let model_of_missing = CallArrival {
        service: ServiceName::new("nowhere").unwrap(),
        ..model_call()
    };
    let cases = [
        (
            "a key that nobody has",
            plain_call("guess", BOOKING, "GET /", None),
            RefusalCause::UnknownKey,
        ),
        (
            "an empty key",
            plain_call("", BOOKING, "GET /", None),
            RefusalCause::UnknownKey,
        ),
        (
            "a service that there is not",
            plain_call(DESK, "nowhere", "GET /", None),
            RefusalCause::UnknownService,
        ),
        (
            "another workspace's service",
            plain_call(DESK, ORDERS, "GET /", None),
            RefusalCause::UnknownService,
        ),
        (
            "the same the other way round",
            plain_call(CLINIC, BOOKING, "GET /", None),
            RefusalCause::UnknownService,
        ),
        (
            "a model that there is not",
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
            plain_call(DESK, LLM, "GET /", None),
            RefusalCause::WrongKind,
        ),
        (
            "a charge without a key",
            plain_call(DESK, BOOKING, "POST /charges", None),
            RefusalCause::KeyMissing,
        ),
        (
            "a charge below the path without a key",
            plain_call(DESK, BOOKING, "POST /charges/7", None),
            RefusalCause::KeyMissing,
        ),
        (
            "a charge by an encoded path without a key",
            plain_call(DESK, BOOKING, "POST /%63harges", None),
            RefusalCause::KeyMissing,
        ),
        (
            "a charge by a doubled slash without a key",
            plain_call(DESK, BOOKING, "POST //charges", None),
            RefusalCause::KeyMissing,
        ),
        (
            "a charge by a dotted path without a key",
            plain_call(DESK, BOOKING, "POST /x/../charges", None),
            RefusalCause::KeyMissing,
        ),
        (
            "a charge by a method in small letters without a key",
            plain_call(DESK, BOOKING, "post /charges", None),
            RefusalCause::KeyMissing,
        ),
    ];
    for (case, arrival, cause) in cases {
        let mut harness = Harness::serving(&Fleet::healthy());
        let call = harness.call(arrival);
        assert_eq!(
            harness.refused(call),
            Some((cause, RunState::NotRun)),
            "{case}"
        );
        assert!(harness.requests.is_empty(), "{case}: the store was asked");
        assert_eq!(harness.status().calls, 0, "{case}");
    }
}

#[test]
fn nobody_is_known_before_the_document() {
    let mut harness = Harness::empty();
    harness.read_fleet(&Fleet::healthy());
    let call = harness.call(model_call());
    let refused = harness.refused(call);
    assert_eq!(refused, Some((RefusalCause::UnknownKey, RunState::NotRun)));
}

#[test]
fn a_charge_is_marked_and_a_reading_is_not() {
    let mut harness = Harness::serving(&Fleet::healthy());
    let reading = harness.call(plain_call(TABLET, BOOKING, "GET /charges", None));
    assert_eq!(harness.sends(reading), 1);
    assert!(!harness.sent(reading).record);
    let charge = harness.call(plain_call(TABLET, BOOKING, "POST /charges", Some("k1")));
    assert_eq!(harness.sends(charge), 0);
    assert!(!harness.requests.is_empty());
}
