//! Nodes that know of a newer configuration than they have.
//!
//! Guards against answers by a configuration that a node could know to be too old: its number was
//! in the digests of others long before the content arrived.

use std::collections::HashMap;

use base::prelude::*;
use edge::border::ports::{CollectionChange, CollectionItem, StoreCollection};
use edge::{
    ArrivalOutcome, CollectionEvent, EdgeEvent, EdgeQuestion, EdgeReply, EdgeState, RejectReason,
};

use crate::bandwidth::BulkLinks;
use crate::network::NodeNetwork;
use crate::support::{
    apply_event, arrival, arrive, at, config, config_item, digest, ready, status,
};

/// Bound of the test's settings.
const CONFIG_APPLY_MS: u64 = 2_000;
/// Size of a configuration with 1,400 routes.
const CONFIG_BYTES: usize = 300_000;

/// Configuration whose only route needs a key.
fn private_config(version: u64) -> CollectionItem {
    let mut config = config(version, "/x/");
    for route in config.routes.values_mut().flatten() {
        Arc::make_mut(route).is_public = false;
    }
    config.workspaces = Some(HashMap::new());
    CollectionItem::RoutingConfig(Arc::new(config), "text".into())
}

fn apply(state: &mut EdgeState, item: CollectionItem, now: ClockTime) {
    let version = match &item {
        CollectionItem::RoutingConfig(config, _) => config.version,
        _ => panic!("it is a configuration"),
    };
    let event = CollectionEvent::Changed(vec![CollectionChange::Put(item)], ObjectVersion(version));
    apply_event(state, StoreCollection::RoutingConfig, event, now);
}

/// Whether a request gets an answer that only holds if the node's configuration is the newest.
fn is_definite(reply: &EdgeReply) -> bool {
    let EdgeReply::Arrival(outcome) = reply else {
        return false;
    };
    matches!(
        outcome.as_ref(),
        ArrivalOutcome::Rejected(RejectReason::NoRoute | RejectReason::Denied)
    )
}

fn ask_arrive(state: &mut EdgeState, call: u64, path: &str, now: u64) -> EdgeReply {
    let question = EdgeQuestion::Arrive(Box::new(arrival(call, path, at(now))));
    crate::support::ask(state, question, at(now))
}

#[test]
fn a_node_that_knows_of_a_newer_configuration_says_neither_404_nor_401() {
    for (path, item) in [("/new/", config_item(2, "/x/")), ("/x/", private_config(2))] {
        let mut state = ready("n1", "n2");
        apply(&mut state, item, at(10));
        assert!(is_definite(&ask_arrive(&mut state, 1, path, 50)), "{path}");
        state.handle(digest("n2", true, 3), at(100));
        for (call, now) in [(2, 101), (3, 250), (4, 600), (5, 1_500), (6, 9_000)] {
            let reply = ask_arrive(&mut state, call, path, now);
            assert!(!is_definite(&reply), "{path} at {now}: {reply:?}");
        }
        apply(&mut state, config_item(3, "/y/"), at(9_100));
        assert!(
            is_definite(&ask_arrive(&mut state, 7, path, 9_101)),
            "{path}"
        );
    }
}

#[test]
fn a_request_for_a_route_that_is_on_its_way_waits_for_it_for_a_moment() {
    let mut state = ready("n1", "n2");
    state.handle(digest("n2", true, 2), at(100));
    let reply = ask_arrive(&mut state, 1, "/new/a", 150);
    assert!(
        matches!(reply, EdgeReply::Waiting { until } if until <= at(200)),
        "{reply:?}"
    );
    apply(&mut state, config_item(2, "/new/"), at(180));
    let reply = ask_arrive(&mut state, 1, "/new/a", 200);
    assert!(
        matches!(&reply, EdgeReply::Arrival(outcome) if matches!(**outcome, ArrivalOutcome::Accepted { version: 2, .. })),
        "{reply:?}"
    );
}

#[test]
fn a_node_that_stays_behind_a_configuration_rejects_requests_within_its_bound() {
    let mut state = ready("n1", "n2");
    // Each version becomes known as the one before arrives, so the node is always behind one.
    state.handle(digest("n2", true, 2), at(100));
    assert!(matches!(
        arrive(&mut state, 1, "/x/a", at(200)),
        ArrivalOutcome::Accepted { version: 1, .. }
    ));
    state.handle(digest("n2", true, 3), at(900));
    let late = 100 + CONFIG_APPLY_MS - 500;
    let outcome = arrive(&mut state, 2, "/x/a", at(late));
    assert!(
        matches!(outcome, ArrivalOutcome::Rejected(_)),
        "{outcome:?}"
    );
    assert!(!status(&mut state, at(late)).is_ready);
    // Version 3 has been known for less than the bound.
    apply(&mut state, config_item(2, "/x/"), at(late + 10));
    assert!(matches!(
        arrive(&mut state, 3, "/x/a", at(late + 20)),
        ArrivalOutcome::Accepted { version: 2, .. }
    ));
    assert!(status(&mut state, at(late + 20)).is_ready);
}

#[test]
fn no_node_answers_by_a_configuration_that_is_older_than_the_bound_if_its_content_never_arrives() {
    for count in [3, 6, 12, 24, 70, 195] {
        let mut network = NodeNetwork::new(count);
        network.bulk = Some(BulkLinks::new(vec![1.0; count]));
        network.run(4_000);
        let item = CollectionItem::RoutingConfig(
            Arc::new(config(2, "/x/")),
            "r".repeat(CONFIG_BYTES).into(),
        );
        let change = vec![CollectionChange::Put(item)];
        let event = CollectionEvent::Changed(change, ObjectVersion(2));
        let event = EdgeEvent::Collection(StoreCollection::RoutingConfig, event);
        network.handle(0, event);
        network.run(4_000 + CONFIG_APPLY_MS);
        let now = network.now;
        for index in 0..count {
            let question = EdgeQuestion::Arrive(Box::new(arrival(1, "/x/a", at(now))));
            let reply = network.ask(index, question);
            let is_older = matches!(
                &reply,
                EdgeReply::Arrival(outcome)
                    if matches!(**outcome, ArrivalOutcome::Accepted { version: 1, .. })
            );
            assert!(!is_older, "{count} nodes: node {index} serves version 1");
            assert_eq!(
                index == 0,
                is_accepted(&reply),
                "{count} nodes: node {index}"
            );
        }
    }
}

fn is_accepted(reply: &EdgeReply) -> bool {
    matches!(
        reply,
        EdgeReply::Arrival(outcome) if matches!(**outcome, ArrivalOutcome::Accepted { .. })
    )
}
