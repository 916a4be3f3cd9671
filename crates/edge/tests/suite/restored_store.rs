//! A store that came back from a copy: what was written since is gone.

use crate::support::{apply_event, arrive, at, config_item, endpoint, list, ready, status};
use base::prelude::*;
use edge::border::ports::{CollectionChange, CollectionItem, StoreCollection};
use edge::{ArrivalOutcome, CollectionEvent, EdgeEffect, EdgeState};
use relay::CallStep;
use replicas::{Endpoint, Presence};
use store::{ObjectChange, ObjectKey, StoredObject, UpdateOutcome};

fn entry(node: &str, version: ObjectVersion) -> CollectionItem {
    CollectionItem::Shared(StoredObject {
        key: ObjectKey::new(&format!("node.{node}")),
        version,
        value: r#"{"address":"127.0.0.1:33","rank":250}"#.into(),
    })
}

/// The writes among effects.
fn writes(effects: Vec<EdgeEffect>) -> Vec<ObjectChange> {
    let writes = effects.into_iter().filter_map(|effect| match effect {
        EdgeEffect::Update(change) => Some(change),
        _ => None,
    });
    writes.collect()
}

/// Node whose entry is written.
fn registered() -> EdgeState {
    let mut state = ready("n1", "n2");
    let change = ObjectChange {
        key: ObjectKey::new("node.n1"),
        expected: ObjectVersion::default(),
        value: "{}".into(),
    };
    let outcome = UpdateOutcome::Applied(ObjectVersion::in_era(1, 5));
    state.handle(edge::EdgeEvent::Updated(change, outcome), at(10));
    state
}

fn list_restored(state: &mut EdgeState, items: Vec<CollectionItem>) -> Vec<EdgeEffect> {
    let event = CollectionEvent::Listed(items, ObjectVersion::in_era(2, 3));
    apply_event(state, StoreCollection::Shared, event, at(5_000))
}

#[test]
fn a_node_whose_entry_was_lost_with_the_store_writes_it_again() {
    let mut state = registered();
    assert!(writes(state.wake(at(4_000))).is_empty());
    let others = vec![entry("n2", ObjectVersion::in_era(2, 1))];
    let effects = list_restored(&mut state, others);
    let change = writes(effects).pop().expect("the entry is written");
    assert_eq!(change.key, ObjectKey::new("node.n1"));
    assert!(!change.expected.exists());
}

#[test]
fn a_restored_store_with_an_older_configuration_leaves_the_active_one() {
    let mut state = registered();
    let item = vec![config_item(9, "/y/")];
    list(&mut state, StoreCollection::RoutingConfig, item, at(20));
    let older = CollectionEvent::Listed(vec![config_item(4, "/x/")], ObjectVersion::in_era(2, 3));
    apply_event(&mut state, StoreCollection::RoutingConfig, older, at(5_000));
    assert_eq!(status(&mut state, at(5_010)).config_version, Some(9));
}

#[test]
fn a_server_that_left_gets_no_requests_because_a_restored_store_lists_it_as_ready() {
    let mut state = registered();
    let leaving = CollectionItem::Endpoint(Endpoint {
        presence: Presence::Leaving,
        ..endpoint("p-1")
    });
    let event = CollectionEvent::Changed(
        vec![CollectionChange::Put(leaving)],
        ObjectVersion::in_era(1, 30),
    );
    apply_event(&mut state, StoreCollection::Endpoints, event, at(4_000));
    let ready = vec![CollectionItem::Endpoint(endpoint("p-1"))];
    let copy = CollectionEvent::Listed(ready, ObjectVersion::in_era(2, 3));
    apply_event(&mut state, StoreCollection::Endpoints, copy, at(5_000));
    let outcome = arrive(&mut state, 1, "/x/1", at(5_010));
    let ArrivalOutcome::Accepted { step, .. } = outcome else {
        panic!("the route exists");
    };
    assert!(matches!(step, CallStep::Refuse(_)), "{step:?}");
}
