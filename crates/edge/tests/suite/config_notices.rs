//! Numbers of configurations whose content does not follow.
//!
//! Guards against nodes that hear of a newer version from nobody, or reject requests by a version
//! that nobody can hand over.

use base::prelude::*;
use edge::border::ports::{CollectionChange, CollectionItem, StoreCollection};
use edge::{ArrivalOutcome, CollectionEvent, EdgeEvent, EdgeQuestion, EdgeReply};

use crate::bandwidth::BulkLinks;
use crate::network::NodeNetwork;
use crate::support::{
    apply_event, arrival, arrive, ask, at, config, config_item, digest, ready, status,
};

/// Bound of the test's settings.
const CONFIG_APPLY_MS: u64 = 2_000;
/// Size of a configuration with 1,400 routes.
const CONFIG_BYTES: usize = 300_000;

#[test]
fn every_node_hears_of_a_version_that_no_hub_has() {
    for count in [12, 24, 70, 195] {
        let mut network = NodeNetwork::new(count);
        // Content never arrives.
        network.bulk = Some(BulkLinks::new(vec![1.0; count]));
        network.run(4_000);
        let item = CollectionItem::RoutingConfig(
            Arc::new(config(2, "/x/")),
            "r".repeat(CONFIG_BYTES).into(),
        );
        let change = vec![CollectionChange::Put(item)];
        let event = CollectionEvent::Changed(change, ObjectVersion(2));
        let event = EdgeEvent::Collection(StoreCollection::RoutingConfig, event);
        network.handle(count - 1, event);
        network.run(4_000 + CONFIG_APPLY_MS);
        let now = network.now;
        let serves_older = |index: &usize| {
            let question = EdgeQuestion::Arrive(Box::new(arrival(1, "/x/a", at(now))));
            matches!(
                network.ask(*index, question),
                EdgeReply::Arrival(outcome)
                    if matches!(*outcome, ArrivalOutcome::Accepted { version: 1, .. })
            )
        };
        let older: Vec<_> = (0..count).filter(serves_older).collect();
        assert!(
            older.is_empty(),
            "{count} nodes: {} serve version 1: {older:?}",
            older.len()
        );
    }
}

#[test]
fn a_node_whose_store_is_away_goes_on_with_the_configuration_that_it_has() {
    let mut state = ready("n1", "n2");
    state.handle(digest("n2", true, 2), at(100));
    let away = CollectionEvent::Unavailable;
    for collection in StoreCollection::ALL {
        apply_event(&mut state, collection, away.clone(), at(150));
    }
    // The other node is gone before it has handed the version over.
    for now in [1_000, 3_000, 20_000] {
        let outcome = arrive(&mut state, now, "/x/a", at(now));
        assert!(
            matches!(outcome, ArrivalOutcome::Accepted { version: 1, .. }),
            "{now} ms: {outcome:?}"
        );
        assert!(status(&mut state, at(now)).is_ready, "{now} ms");
    }
}

#[test]
fn a_request_that_no_version_allows_is_answered_while_versions_follow_one_another() {
    let mut state = ready("n1", "n2");
    let asked = arrival(1, "/new/a", at(200));
    let (mut retry_at, mut answered_at) = (200, None);
    for now in (100..4_000).step_by(10) {
        if now % 100 == 0 {
            state.handle(digest("n2", true, now / 100 + 1), at(now));
        }
        // Each version arrives 150 ms after its number.
        if now % 100 == 50 && now > 200 {
            let item = config_item(now / 100, "/x/");
            let change =
                CollectionEvent::Changed(vec![CollectionChange::Put(item)], ObjectVersion(now));
            apply_event(&mut state, StoreCollection::RoutingConfig, change, at(now));
        }
        if now >= retry_at && answered_at.is_none() {
            let question = EdgeQuestion::Arrive(Box::new(asked.clone()));
            match ask(&mut state, question, at(now)) {
                EdgeReply::Waiting { until } => retry_at = until.since(at(0)).as_millis() as u64,
                _ => answered_at = Some(now),
            }
        }
    }
    assert!(
        answered_at.is_some_and(|at| at <= 700),
        "it was answered at {answered_at:?} ms"
    );
}

#[test]
fn a_node_that_only_lacks_reads_of_the_configuration_rejects_requests_in_time() {
    let mut state = ready("n1", "n2");
    state.handle(digest("n2", true, 2), at(100));
    // The link is full: digests are late and no configuration arrives whole, but the store answers.
    let mut accepted = Vec::new();
    for now in (150..5_000).step_by(50) {
        let failed = CollectionEvent::Unavailable;
        apply_event(&mut state, StoreCollection::RoutingConfig, failed, at(now));
        let unchanged = || CollectionEvent::Changed(Vec::new(), ObjectVersion(now));
        for collection in [StoreCollection::Endpoints, StoreCollection::Shared] {
            apply_event(&mut state, collection, unchanged(), at(now));
        }
        if now % 1_500 == 0 {
            state.handle(digest("n2", true, 2), at(now));
        }
        state.wake(at(now));
        let outcome = arrive(&mut state, now, "/x/a", at(now));
        if now >= 100 + CONFIG_APPLY_MS && matches!(outcome, ArrivalOutcome::Accepted { .. }) {
            accepted.push(now);
        }
    }
    assert!(
        accepted.is_empty(),
        "accepted by version 1 at {accepted:?} ms"
    );
}

#[test]
fn a_version_that_this_build_cannot_read_stops_no_node() {
    let mut state = ready("n1", "n2");
    let mut rejected = Vec::new();
    for now in (100..20_000).step_by(100) {
        // A version each 1.2 s, which another build reads and this one can't.
        let version = 2 + (now - 100) / 1_200;
        state.handle(digest("n2", true, version), at(now));
        if (now - 100) % 1_200 == 200 {
            let item = CollectionItem::Unreadable {
                name: "main".into(),
                reason: "unknown kind of route".into(),
            };
            let change = vec![CollectionChange::Put(item)];
            let change = CollectionEvent::Changed(change, ObjectVersion(version));
            apply_event(&mut state, StoreCollection::RoutingConfig, change, at(now));
        }
        let outcome = arrive(&mut state, now, "/x/a", at(now));
        if !matches!(outcome, ArrivalOutcome::Accepted { .. }) {
            rejected.push(now);
        }
    }
    assert!(
        rejected.is_empty(),
        "rejected at {} of 199 instants, first at {:?} and last at {:?} ms",
        rejected.len(),
        rejected.first(),
        rejected.last()
    );
}
