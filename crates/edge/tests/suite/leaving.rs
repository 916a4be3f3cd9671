//! Endpoints that leave around a disturbance of the store.

use std::collections::BTreeSet;

use base::prelude::*;
use edge::border::ports::{CollectionChange, CollectionItem, StoreCollection};
use edge::{ArrivalOutcome, CollectionEvent, EdgeState};
use relay::CallStep;

use crate::support::{apply_event, arrive, at, digest, endpoint, list, ready};

fn host(id: &str) -> HostName {
    HostName::new(id).unwrap()
}

/// Lists three plain endpoints, one of which the platform removes at `removed_at`, after the store
/// did not respond between the two instants.
fn removed_after_disturbance(since: u64, until: u64, removed_at: u64) -> EdgeState {
    let mut state = ready("n1", "n2");
    let items = ["p-1", "p-2", "p-3"].map(|id| CollectionItem::Endpoint(endpoint(id)));
    list(
        &mut state,
        StoreCollection::Endpoints,
        items.into(),
        at(since - 10),
    );
    let mut apply = |event, now| apply_event(&mut state, StoreCollection::Endpoints, event, now);
    apply(CollectionEvent::Unavailable, at(since));
    let unchanged = CollectionEvent::Changed(Vec::new(), ObjectVersion(2));
    apply(unchanged, at(until));
    let removed = vec![CollectionChange::Removed("p-1".into())];
    let removed = CollectionEvent::Changed(removed, ObjectVersion(3));
    apply(removed, at(removed_at));
    state
}

/// Endpoints that ten requests are sent to.
fn chosen_endpoints(state: &mut EdgeState, now: ClockTime) -> BTreeSet<HostName> {
    let outcomes = (0..10).map(|call| arrive(state, call, "/x/a", now));
    let steps = outcomes.filter_map(|outcome| match outcome {
        ArrivalOutcome::Accepted {
            step: CallStep::Send(order),
            ..
        } => Some(order.target),
        _ => None,
    });
    steps.collect()
}

#[test]
fn a_server_removed_after_a_short_disturbance_of_the_store_gets_no_requests() {
    let mut state = removed_after_disturbance(4_000, 4_160, 5_400);
    let chosen = chosen_endpoints(&mut state, at(5_401));
    assert_eq!(chosen, BTreeSet::from(["p-2", "p-3"].map(host)));
}

#[test]
fn a_single_server_removed_after_an_outage_gets_no_requests() {
    let mut state = removed_after_disturbance(4_000, 8_000, 8_010);
    let chosen = chosen_endpoints(&mut state, at(8_011));
    assert_eq!(chosen, BTreeSet::from(["p-2", "p-3"].map(host)));
}

#[test]
fn an_endpoint_kept_after_an_outage_expires_at_nodes_that_do_not_own_the_groups() {
    let mut state = ready("n2", "n1");
    state.handle(digest("n1", true, 1), at(900));
    let unavailable = CollectionEvent::Unavailable;
    apply_event(
        &mut state,
        StoreCollection::Endpoints,
        unavailable,
        at(1_000),
    );
    list(
        &mut state,
        StoreCollection::Endpoints,
        Vec::new(),
        at(5_000),
    );
    assert_eq!(chosen_endpoints(&mut state, at(5_100)).len(), 1);
    let mut now = at(5_100);
    while now < at(7_300) {
        now = state
            .next_deadline()
            .unwrap()
            .max(now + Duration::from_millis(1));
        state.handle(digest("n1", true, 1), now);
        state.wake(now);
    }
    assert_eq!(chosen_endpoints(&mut state, at(7_301)).len(), 0);
}
