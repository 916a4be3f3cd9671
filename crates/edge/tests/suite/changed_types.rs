//! Routes whose type changes while their requests are under way.
//!
//! Guards against a request that is sent once more, or called unrun by its server's bare status,
//! though one of the versions in force allows it to run once only.

use base::prelude::*;
use edge::border::ports::{CollectionChange, CollectionItem, StoreCollection};
use edge::{ArrivalOutcome, CollectionEvent, EdgeQuestion, EdgeReply, EdgeState};
use intent::{CallKind, Route};
use relay::{AttemptEnd, AttemptId, CallStep, RefusalReason, StallStep};

use crate::support::{
    apply_event, arrive, ask, at, config, digest, endpoint, first_attempt, list, not_run, start,
};

const CALL: CallId = CallId(1);

/// Configuration whose route has this type.
fn typed_config(version: u64, kind: CallKind) -> CollectionItem {
    let mut config = config(version, "/x/");
    for route in config.routes.values_mut().flatten() {
        let route = Arc::make_mut(route);
        (route.kind, route.attempts) = (kind, 3);
    }
    CollectionItem::RoutingConfig(Arc::new(config), "text".into())
}

/// Idempotent route, below which another one has requests that may run once only.
fn split_config(version: u64) -> CollectionItem {
    let mut config = config(version, "/x/");
    let routes = config.routes.values_mut().next().expect("a host");
    let mut wider = Route::clone(&routes[0]);
    (wider.kind, wider.attempts) = (CallKind::Idempotent, 3);
    let narrower = Route {
        prefix: "/x/a/".into(),
        kind: CallKind::OnceOnly,
        ..wider.clone()
    };
    *routes = vec![narrower.into(), wider.into()];
    CollectionItem::RoutingConfig(Arc::new(config), "text".into())
}

fn change_type(state: &mut EdgeState, version: u64, kind: CallKind, now: u64) {
    change_config(state, version, typed_config(version, kind), now);
}

fn change_config(state: &mut EdgeState, version: u64, item: CollectionItem, now: u64) {
    let changes = vec![CollectionChange::Put(item)];
    let event = CollectionEvent::Changed(changes, ObjectVersion(version));
    apply_event(state, StoreCollection::RoutingConfig, event, at(now));
}

/// Node with three servers that has sent a request of a route of this type.
fn sent(kind: CallKind) -> EdgeState {
    let mut state = start("n1");
    let items = vec![typed_config(1, kind)];
    list(&mut state, StoreCollection::RoutingConfig, items, at(1));
    let ids = ["p-1", "p-2", "p-3"];
    let items = ids.map(|id| CollectionItem::Endpoint(endpoint(id)));
    list(&mut state, StoreCollection::Endpoints, items.into(), at(1));
    list(&mut state, StoreCollection::Shared, Vec::new(), at(1));
    let outcome = arrive(&mut state, CALL.0, "/x/a/1", at(2_000));
    let ArrivalOutcome::Accepted { step, .. } = outcome else {
        panic!("not accepted: {outcome:?}");
    };
    assert!(matches!(step, CallStep::Send(_)), "{step:?}");
    state
}

/// Next step after an attempt has ended.
fn end(state: &mut EdgeState, number: u32, end: AttemptEnd, now: u64) -> CallStep {
    let attempt = AttemptId { call: CALL, number };
    match ask(state, EdgeQuestion::Ended(attempt, end), at(now)) {
        EdgeReply::Step(step) => step,
        other => panic!("no step: {other:?}"),
    }
}

fn may_repeat(state: &mut EdgeState, now: u64) -> bool {
    match ask(state, EdgeQuestion::MayRepeat(CALL), at(now)) {
        EdgeReply::MayRepeat(may_repeat) => may_repeat,
        other => panic!("no reply: {other:?}"),
    }
}

const TYPES: [(CallKind, bool); 4] = [
    (CallKind::Idempotent, true),
    (CallKind::OnceOnly, false),
    (CallKind::Stream { resumable: true }, true),
    (CallKind::Stream { resumable: false }, false),
];

#[test]
fn a_request_is_sent_again_only_if_each_version_since_its_arrival_allows_it() {
    for (old, allowed_before) in TYPES {
        for (new, allowed_after) in TYPES {
            let mut state = sent(old);
            change_type(&mut state, 2, new, 2_010);
            // Back to a type that allows more.
            change_type(&mut state, 3, CallKind::Idempotent, 2_020);
            let is_allowed = allowed_before && allowed_after;
            assert_eq!(
                may_repeat(&mut state, 2_025),
                is_allowed,
                "{old:?}, {new:?}"
            );
            match end(&mut state, 1, AttemptEnd::Lost, 2_030) {
                CallStep::Send(_) => assert!(is_allowed, "{old:?}, then {new:?}: sent again"),
                CallStep::Refuse(refusal) => {
                    assert!(!is_allowed, "{old:?}, then {new:?}: {refusal:?}");
                    assert!(refusal.may_have_run(), "{old:?}, then {new:?}");
                }
                CallStep::Wait => panic!("nothing is open"),
            }
        }
    }
}

#[test]
fn a_request_that_was_refused_is_still_sent_on_after_its_type_changed() {
    let mut state = sent(CallKind::Idempotent);
    change_type(&mut state, 2, CallKind::OnceOnly, 2_010);
    let refused = AttemptEnd::NotRun(not_run());
    let step = end(&mut state, first_attempt(CALL).number, refused, 2_020);
    assert!(matches!(step, CallStep::Send(_)), "{step:?}");
    match end(&mut state, 2, AttemptEnd::Lost, 2_030) {
        CallStep::Refuse(refusal) => {
            assert_eq!(refusal.reason, RefusalReason::Exhausted);
            assert!(refusal.may_have_run());
        }
        step => panic!("{step:?}"),
    }
}

#[test]
fn a_bare_status_is_not_passed_on_while_a_newer_version_is_known_but_not_its_content() {
    let mut state = sent(CallKind::Idempotent);
    assert!(may_repeat(&mut state, 2_010));
    state.handle(digest("n2", true, 3), at(2_020));
    assert!(!may_repeat(&mut state, 2_030));
    change_type(&mut state, 3, CallKind::Idempotent, 2_040);
    assert!(may_repeat(&mut state, 2_050));
}

#[test]
fn a_request_that_a_newer_route_with_a_longer_prefix_lets_run_once_only_is_not_sent_again() {
    let mut state = sent(CallKind::Idempotent);
    change_config(&mut state, 2, split_config(2), 2_010);
    let is_allowed = may_repeat(&mut state, 2_020);
    let step = end(&mut state, 1, AttemptEnd::Lost, 2_030);
    let is_sent = matches!(step, CallStep::Send(_));
    assert_eq!((is_allowed, is_sent), (false, false), "{step:?}");
}

#[test]
fn a_request_that_a_newer_route_with_a_longer_prefix_lets_run_once_only_does_not_leave_a_silent_server()
 {
    for (config, is_moved) in [
        (split_config(2), false),
        (typed_config(2, CallKind::Idempotent), true),
    ] {
        let mut state = sent(CallKind::Idempotent);
        change_config(&mut state, 2, config, 2_010);
        let check = EdgeQuestion::Check {
            attempt: first_attempt(CALL),
            is_answering: false,
        };
        let EdgeReply::Stall(step) = ask(&mut state, check, at(2_500)) else {
            panic!("a check gets a step");
        };
        assert_eq!(matches!(step, StallStep::Move(..)), is_moved, "{step:?}");
    }
}
