//! Routes whose type changes while their requests are under way.
//!
//! Guards against a request that is sent once more, or called unrun by its server's bare status,
//! though one of the versions in force allows it to run once only.

use base::prelude::*;
use edge::border::ports::{CollectionChange, CollectionItem, StoreCollection};
use edge::{
    ArrivalOutcome, CollectionEvent, EdgeEvent, EdgeQuestion, EdgeReply, EdgeState, PassDecision,
    PassRequest,
};
use intent::{CallKind, Route};
use relay::{AttemptEnd, AttemptId, CallStep, RefusalReason, SendOrder, StallStep};

use crate::network::NodeNetwork;
use crate::support::{
    apply_event, arrive, ask, at, config, digest, endpoint, first_attempt, list, not_run,
    pass_request, start,
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

/// Repetition of a request whose first attempt was lost.
fn repetition(state: &mut EdgeState, now: u64) -> AttemptId {
    match end(state, 1, AttemptEnd::Lost, now) {
        CallStep::Send(order) => order.attempt,
        step => panic!("not sent again: {step:?}"),
    }
}

#[test]
fn a_repetition_is_not_sent_if_its_route_becomes_once_only_while_its_connection_opens() {
    for (kind, is_allowed) in TYPES {
        let mut state = sent(CallKind::Idempotent);
        let attempt = repetition(&mut state, 2_010);
        change_type(&mut state, 2, kind, 2_020);
        let may_send = ask(&mut state, EdgeQuestion::MaySend(attempt), at(2_030));
        let is_sent = matches!(may_send, EdgeReply::MaySend(true));
        assert_eq!(is_sent, is_allowed, "{kind:?}");
        if is_sent {
            continue;
        }
        match end(&mut state, 2, AttemptEnd::Withheld(not_run()), 2_030) {
            CallStep::Refuse(refusal) => assert!(refusal.may_have_run(), "{kind:?}"),
            step => panic!("{kind:?}: {step:?}"),
        }
    }
}

#[test]
fn a_repetition_that_a_node_does_not_pass_on_is_not_passed_elsewhere_once_it_may_run_once_only() {
    for (kind, is_allowed) in TYPES {
        let mut network = NodeNetwork::new(4);
        let servers = ["p-1", "p-2", "p-3"].map(|id| CollectionItem::Endpoint(endpoint(id)));
        for node in &mut network.nodes {
            change_type(node, 2, CallKind::Idempotent, 0);
            list(node, StoreCollection::Endpoints, servers.to_vec(), at(0));
        }
        network.run(2_000);
        network.partitioned.insert(0);
        while network.reach_changes[0] != Some("cut-off") {
            assert!(network.now < 10_000, "never cut off");
            // Attempts that are not sent raise the suspicion.
            let call = 100 + network.now;
            arrive(&mut network.nodes[0], call, "/x/", at(network.now));
            let attempt = first_attempt(CallId(call));
            network.ask(
                0,
                EdgeQuestion::Ended(attempt, AttemptEnd::NotSent(not_run())),
            );
            network.run(network.now + 20);
        }
        let now = network.now;
        let state = &mut network.nodes[0];
        arrive(state, CALL.0, "/x/", at(now));
        let attempt = repetition(state, now);
        change_type(state, 3, kind, now);
        let refused = AttemptEnd::NotPassedOn(not_run());
        let step = end(state, attempt.number, refused, now);
        let is_sent = matches!(step, CallStep::Send(_));
        assert_eq!(is_sent, is_allowed, "{kind:?}: {step:?}");
    }
}

#[test]
fn a_node_with_a_newer_version_carries_no_repetition_that_may_run_once_only() {
    let order = |is_repeat| {
        let mut state = sent(CallKind::Idempotent);
        let CallStep::Send(order) = end(&mut state, 1, AttemptEnd::Lost, 2_010) else {
            panic!("not sent again");
        };
        assert!(order.is_repeat);
        SendOrder { is_repeat, ..order }
    };
    // Version that accepted the request, whether it is a repetition, and the decision: whether it is
    // sent, and the other node is told that it may run once only.
    for (version, is_repeat, expected) in [
        (Some(1), false, Some(true)),
        (Some(1), true, None),
        // As new as this node's.
        (Some(2), true, Some(false)),
        // An older build.
        (None, true, Some(false)),
    ] {
        let mut state = sent(CallKind::Idempotent);
        change_config(&mut state, 2, split_config(2), 2_010);
        let request = PassRequest {
            path: "/x/a/1".into(),
            version,
            ..pass_request(9, &order(is_repeat))
        };
        let reply = ask(
            &mut state,
            EdgeQuestion::PassOn(Box::new(request)),
            at(2_020),
        );
        let decision = match reply {
            EdgeReply::Pass(PassDecision::Send { is_once_only, .. }) => Some(is_once_only),
            EdgeReply::Pass(PassDecision::Withhold) => None,
            reply => panic!("{version:?}, {is_repeat}: {reply:?}"),
        };
        assert_eq!(decision, expected, "{version:?}, {is_repeat}");
    }
}

#[test]
fn a_node_that_is_told_of_a_newer_version_sends_a_request_again_no_more() {
    let mut state = sent(CallKind::Idempotent);
    state.handle(EdgeEvent::OnceOnly(CALL), at(2_010));
    match end(&mut state, 1, AttemptEnd::Lost, 2_020) {
        CallStep::Refuse(refusal) => assert!(refusal.may_have_run()),
        step => panic!("{step:?}"),
    }
}
