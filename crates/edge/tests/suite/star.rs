//! Deployments with many nodes: hubs, and what the others are told.

use crate::support::{arrive, at, endpoint, intent_item, list, node, settings, status};
use base::prelude::*;
use edge::border::ports::{Feed, FeedItem};
use edge::{
    Digest, EdgeEffect, EdgeEvent, EdgeSettings, EdgeState, EdgeTimes, FeedPace, PeerMessage,
};
use relay::SendTarget;
use store::{ObjectKey, StoredObject};

const NODES: usize = 30;

/// Node that knows 30 nodes, of which the first four can do more.
fn member(name: &str) -> EdgeState {
    ranked(name, 250)
}

fn ranked(name: &str, rank: u32) -> EdgeState {
    let settings = EdgeSettings {
        rank,
        ..settings(name)
    };
    let mut state = EdgeState::new(settings, EdgeTimes::default(), 1, at(0));
    list(
        &mut state,
        Feed::RoutingConfig,
        vec![intent_item(1, "/x/")],
        at(1),
    );
    let items = vec![FeedItem::Endpoint(endpoint("p-1"))];
    list(&mut state, Feed::Endpoints, items, at(1));
    let entries = (0..NODES).map(|index| {
        let rank = if index < 4 { 500 } else { 300 };
        FeedItem::Shared(StoredObject {
            key: ObjectKey::new(&format!("node.n{index:02}")),
            version: ObjectVersion(1),
            value: format!(
                r#"{{"address":"127.0.0.1:{}","rank":{rank}}}"#,
                1_000 + index
            )
            .into(),
        })
    });
    list(&mut state, Feed::Shared, entries.collect(), at(1));
    state
}

fn digests(effects: &[EdgeEffect]) -> Vec<u16> {
    let sent = effects.iter().filter_map(|effect| match effect {
        EdgeEffect::Send {
            to,
            message: PeerMessage::Digest(_),
        } => Some(to.port()),
        _ => None,
    });
    sent.collect()
}

fn hub_digest(from: &str, owns: bool, places_version: u64) -> EdgeEvent {
    EdgeEvent::Peer(PeerMessage::Digest(Box::new(Digest {
        from: node(from),
        intent_version: 1,
        record_version: ObjectVersion(0),
        places_version: ObjectVersion(places_version),
        owns,
        can_own: true,
        counts: Vec::new(),
        silent: Vec::new(),
        paces: Vec::new(),
    })))
}

fn places() -> PeerMessage {
    let place = SendTarget {
        id: HostName::new("p-7").unwrap(),
        address: "127.0.0.1:9".parse().unwrap(),
        domain: DomainName::new("zone-a").unwrap(),
        service: ServiceName::new("plain").unwrap(),
        model: None,
        epoch: GroupEpoch(0),
        slots: 6,
    };
    PeerMessage::Places(Arc::new([place]), ObjectVersion(40))
}

#[test]
fn most_nodes_tell_only_the_hubs() {
    let mut state = member("n20");
    assert_eq!(
        digests(&state.wake(at(10))),
        vec![1_000, 1_001, 1_002, 1_003]
    );
}

#[test]
fn a_hub_that_is_not_heard_is_replaced() {
    let mut state = member("n20");
    let mut now = 10;
    while now < 2_000 {
        for hub in ["n00", "n01", "n03"] {
            state.handle(hub_digest(hub, hub == "n00", 0), at(now));
        }
        state.wake(at(now));
        now += 150;
    }
    state.handle(hub_digest("n00", true, 0), at(now));
    assert_eq!(
        digests(&state.wake(at(now))),
        vec![1_000, 1_001, 1_003, 1_004]
    );
}

#[test]
fn a_node_that_is_no_hub_owns_nothing() {
    let mut state = member("n20");
    state.wake(at(5_000));
    assert!(!status(&mut state, at(5_000)).is_owner);
}

#[test]
fn a_node_that_is_told_of_the_places_stops_asking_the_store() {
    let mut state = member("n20");
    state.wake(at(10));
    state.handle(hub_digest("n00", true, 40), at(20));
    state.handle(EdgeEvent::Peer(places()), at(21));
    let paces = |effects: Vec<EdgeEffect>| -> Vec<FeedPace> {
        let paces = effects.into_iter().filter_map(|effect| match effect {
            EdgeEffect::Pace(pace) => Some(pace),
            _ => None,
        });
        paces.collect()
    };
    assert!(paces(state.wake(at(200)))[0].is_told);
    assert!(matches!(
        arrive(&mut state, 1, "/x/a", at(210)),
        edge::ArrivalOutcome::Taken { step: relay::CallStep::Send(order), .. }
            if order.target.as_str() == "p-7"
    ));
    let alone = paces(state.wake(at(2_500)));
    assert!(!alone[0].is_told, "the owner was not heard for two seconds");
}

#[test]
fn older_places_never_replace_newer_ones() {
    let mut state = member("n20");
    state.handle(EdgeEvent::Peer(places()), at(21));
    let older = PeerMessage::Places(Arc::new([]), ObjectVersion(39));
    state.handle(EdgeEvent::Peer(older), at(22));
    let taken = arrive(&mut state, 1, "/x/a", at(23));
    assert!(matches!(
        taken,
        edge::ArrivalOutcome::Taken {
            step: relay::CallStep::Send(_),
            ..
        }
    ));
}

/// Digests that a node sends to another one within two seconds.
fn digests_to(
    state: &mut EdgeState,
    port: u16,
    mut beat: impl FnMut(&mut EdgeState, u64),
) -> usize {
    let mut count = 0;
    for now in 5_000..7_000 {
        beat(state, now);
        if state.next_deadline().is_some_and(|due| due <= at(now)) {
            let sent = digests(&state.wake(at(now)));
            count += sent.iter().filter(|to| **to == port).count();
        }
    }
    count
}

#[test]
fn counts_are_told_often_enough_to_choose_by() {
    let mut spoke = member("n20");
    let told = digests_to(&mut spoke, 1_000, |state, now| {
        if now % 100 == 0 {
            state.handle(hub_digest("n00", true, 0), at(now));
        }
    });
    // 29 other nodes would allow one every 15 ms; the least pause is 40 ms.
    assert!((45..=50).contains(&told), "{told} digests in two seconds");
}

#[test]
fn the_owner_tells_all_at_a_rate_that_does_not_grow_with_the_nodes() {
    let mut owner = ranked("n00", 500);
    let told = digests_to(&mut owner, 1_020, |state, now| {
        if now % 1_000 == 0 {
            list(state, Feed::Endpoints, Vec::new(), at(now));
            list(state, Feed::Shared, Vec::new(), at(now));
        }
    });
    assert!(status(&mut owner, at(7_000)).is_owner);
    assert!((45..=50).contains(&told), "{told} digests in two seconds");
}

#[test]
fn a_configuration_goes_to_one_of_many_only_if_the_store_has_not_given_it_to_it() {
    let mut hub = ranked("n00", 500);
    hub.wake(at(10));
    list(
        &mut hub,
        Feed::RoutingConfig,
        vec![intent_item(2, "/x/")],
        at(1_000),
    );
    let is_sent = |effects: Vec<EdgeEffect>| {
        effects.iter().any(|effect| {
            matches!(
                effect,
                EdgeEffect::Send {
                    message: PeerMessage::RoutingConfig(..),
                    ..
                }
            )
        })
    };
    // The node that speaks has version 1 in force.
    let speak = || hub_digest("n20", false, 0);
    assert!(!is_sent(hub.handle(speak(), at(1_600))));
    assert!(is_sent(hub.handle(speak(), at(1_700))));
    assert!(
        !is_sent(hub.handle(speak(), at(1_800))),
        "it was sent just now"
    );
}
