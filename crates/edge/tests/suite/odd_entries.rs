//! Entries and reports of servers whose values are odd but can be decoded, entries that turn
//! unreadable, and workspaces whose names can't be sent.

use crate::support::{apply_event, arrival, arrive, ask, at, config, endpoint, list, ready};
use base::prelude::*;
use edge::border::ports::{CollectionChange, CollectionItem, StoreCollection};
use edge::{
    Arrival, ArrivalOutcome, CollectionEvent, EdgeEvent, EdgeQuestion, EdgeReply, EdgeState,
    RejectReason,
};
use intent::{RoutingConfig, Workspace};
use relay::CallStep;
use replicas::{Endpoint, EndpointReport, ProbeOutcome};

fn is_sent(state: &mut EdgeState, call: u64, now: ClockTime) -> bool {
    let ArrivalOutcome::Accepted { step, .. } = arrive(state, call, "/x/1", now) else {
        panic!("the route exists");
    };
    matches!(step, CallStep::Send(_))
}

#[test]
fn entries_with_the_largest_numbers_end_no_node() {
    let mut state = ready("n1", "n2");
    let largest = |id: &str| {
        CollectionItem::Endpoint(Endpoint {
            slots: usize::MAX,
            sequence: u64::MAX,
            incarnation: HostIncarnation(u64::MAX),
            ..endpoint(id)
        })
    };
    let items = ["p-1", "p-2", "p-3"].map(largest);
    list(
        &mut state,
        StoreCollection::Endpoints,
        items.to_vec(),
        at(2),
    );
    for call in 0..20 {
        let now = at(10 + call * 50);
        assert!(is_sent(&mut state, call, now));
        state.wake(now);
    }
}

#[test]
fn a_report_with_the_largest_numbers_ends_no_node() {
    let mut state = ready("n1", "n2");
    let report = EndpointReport {
        incarnation: HostIncarnation(1),
        sequence: u64::MAX,
        staged: Vec::new(),
        membership: None,
        latency_factor: f64::MAX,
        queued: u32::MAX,
        running: u32::MAX,
    };
    let id = HostName::new("p-1").unwrap();
    let reported = EdgeEvent::Reported(id, ProbeOutcome::Received(report));
    state.handle(reported, at(10));
    // The server counts as full until the reported load expires.
    assert!(!is_sent(&mut state, 1, at(20)));
    state.wake(at(1_000));
    assert!(is_sent(&mut state, 2, at(1_000)));
}

#[test]
fn an_entry_that_turns_unreadable_names_no_server_to_use() {
    let mut state = ready("n1", "n2");
    assert!(is_sent(&mut state, 1, at(10)));
    let unreadable = CollectionChange::Put(CollectionItem::Unreadable {
        name: "p-1".into(),
        reason: "no state".into(),
    });
    let event = CollectionEvent::Changed(vec![unreadable], ObjectVersion(5));
    apply_event(&mut state, StoreCollection::Endpoints, event, at(20));
    assert!(!is_sent(&mut state, 2, at(30)));
}

#[test]
fn requests_of_a_workspace_whose_name_cannot_be_sent_are_rejected_and_no_others() {
    let mut state = ready("n1", "n2");
    let workspaces = [("key-1", true), ("key-2", false)].map(|(key, can_be_sent)| {
        let workspace = Workspace {
            name: WorkspaceName::external("a\nb").unwrap(),
            can_be_sent,
            priority: None,
        };
        (Arc::from(key), workspace)
    });
    let config = RoutingConfig {
        workspaces: Some(workspaces.into()),
        ..config(5, "/x/")
    };
    let item = CollectionItem::RoutingConfig(Arc::new(config), "text".into());
    let event = CollectionEvent::Changed(vec![CollectionChange::Put(item)], ObjectVersion(5));
    apply_event(&mut state, StoreCollection::RoutingConfig, event, at(10));
    for (call, key, is_rejected) in [(1, "key-1", false), (2, "key-2", true)] {
        let arrival = Arrival {
            key: Some(key.into()),
            ..arrival(call, "/x/1", at(20))
        };
        let reply = ask(&mut state, EdgeQuestion::Arrive(Box::new(arrival)), at(20));
        let EdgeReply::Arrival(outcome) = reply else {
            panic!("no arrival: {reply:?}");
        };
        let reason = match *outcome {
            ArrivalOutcome::Rejected(reason) => Some(reason),
            ArrivalOutcome::Accepted { .. } => None,
        };
        let expected = is_rejected.then_some(RejectReason::UnsendableWorkspace);
        assert_eq!(reason, expected, "{key}");
    }
}
