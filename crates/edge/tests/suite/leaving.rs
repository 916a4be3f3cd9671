//! Endpoints that leave around a disturbance of the store.

use std::collections::BTreeSet;

use base::prelude::*;
use edge::border::ports::{CollectionChange, CollectionItem, StoreCollection};
use edge::{ArrivalOutcome, CollectionEvent, EdgeEvent, EdgeState, PeerMessage};
use notices::{Departure, ServerRun};
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

/// Digest of a node that has read up to this revision that a run of `p-1` has left.
fn digest_with_departure(incarnation: u64, revision: u64) -> EdgeEvent {
    let EdgeEvent::Peer(PeerMessage::Digest(mut digest)) = digest("n2", true, 1) else {
        unreachable!("it is a digest");
    };
    digest.departures.push(Departure {
        run: ServerRun {
            server: host("p-1"),
            incarnation: HostIncarnation(incarnation),
        },
        revision: ObjectVersion(revision),
        read_at: at(90),
    });
    EdgeEvent::Peer(PeerMessage::Digest(digest))
}

#[test]
fn a_server_that_another_node_has_read_to_have_left_gets_no_requests_until_a_newer_list_has_it() {
    // Run and revision of the departure, and whether the server is used although it is listed.
    for (incarnation, revision, is_used) in [(1, 5, false), (1, 1, true), (2, 5, true)] {
        let mut state = ready("n1", "n2");
        state.handle(digest_with_departure(incarnation, revision), at(100));
        let chosen = chosen_endpoints(&mut state, at(101));
        assert_eq!(
            chosen.contains(&host("p-1")),
            is_used,
            "{incarnation}, {revision}"
        );
        let unchanged = CollectionEvent::Changed(Vec::new(), ObjectVersion(4));
        apply_event(&mut state, StoreCollection::Endpoints, unchanged, at(200));
        let chosen = chosen_endpoints(&mut state, at(201));
        assert_eq!(
            chosen.contains(&host("p-1")),
            is_used,
            "{incarnation}, {revision}"
        );
        let unchanged = CollectionEvent::Changed(Vec::new(), ObjectVersion(5));
        apply_event(&mut state, StoreCollection::Endpoints, unchanged, at(300));
        assert!(chosen_endpoints(&mut state, at(301)).contains(&host("p-1")));
    }
}

#[test]
fn entries_that_may_be_listed_again_after_an_outage_are_not_reported_as_departures() {
    let mut state = ready("n1", "n2");
    let mut departures = |event, now| {
        apply_event(&mut state, StoreCollection::Endpoints, event, at(now));
        let effects = state.wake(at(now + 500));
        let sent = effects.into_iter().filter_map(|effect| match effect {
            edge::EdgeEffect::Send {
                message: PeerMessage::Digest(digest),
                ..
            } => Some(digest.departures.len()),
            _ => None,
        });
        sent.last().expect("a digest is sent")
    };
    assert_eq!(departures(CollectionEvent::Unavailable, 1_000), 0);
    let emptied = CollectionEvent::Listed(Vec::new(), ObjectVersion(5));
    assert_eq!(departures(emptied, 5_000), 0);
    let unchanged = CollectionEvent::Changed(Vec::new(), ObjectVersion(6));
    assert_eq!(departures(unchanged, 7_300), 1);
}
