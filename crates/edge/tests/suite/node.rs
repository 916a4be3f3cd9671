//! A node's decisions: configuration, readiness, ownership and its end.

use crate::support::{
    arrive, at, digest, endpoint, feed, intent, intent_item, list, ready, start, status,
};
use base::prelude::*;
use edge::border::ports::{Feed, FeedChange, FeedItem};
use edge::{ArrivalOutcome, EdgeEffect, EdgeEvent, FeedEvent, PeerMessage, RejectReason};
use relay::CallStep;

fn changed(item: FeedItem) -> FeedEvent {
    FeedEvent::Changed(vec![FeedChange::Put(item)], ObjectVersion(9))
}

fn is_taken(outcome: &ArrivalOutcome) -> bool {
    matches!(
        outcome,
        ArrivalOutcome::Taken {
            step: CallStep::Send(_),
            ..
        }
    )
}

#[test]
fn a_node_without_configuration_is_not_ready_and_asks_to_come_back() {
    let mut state = start("n1");
    assert!(!status(&mut state, at(1)).is_ready);
    let outcome = arrive(&mut state, 1, "/x/", at(1));
    assert!(matches!(
        outcome,
        ArrivalOutcome::Rejected(RejectReason::NoIntent)
    ));
}

#[test]
fn a_node_is_ready_once_it_has_read_everything() {
    let mut state = start("n1");
    list(
        &mut state,
        Feed::RoutingConfig,
        vec![intent_item(1, "/x/")],
        at(1),
    );
    assert!(!status(&mut state, at(2)).is_ready);
    list(&mut state, Feed::Endpoints, Vec::new(), at(3));
    assert!(!status(&mut state, at(3)).is_ready);
    list(&mut state, Feed::Shared, Vec::new(), at(4));
    assert!(status(&mut state, at(4)).is_ready);
    for one in Feed::ALL {
        feed(&mut state, one, FeedEvent::Lost, at(5));
    }
    assert!(
        status(&mut state, at(60_000)).is_ready,
        "an outage changes nothing"
    );
}

#[test]
fn a_newer_configuration_is_in_force_at_once_and_an_older_one_never() {
    let mut state = ready("n1", "n2");
    assert!(is_taken(&arrive(&mut state, 1, "/x/a", at(10))));
    feed(
        &mut state,
        Feed::RoutingConfig,
        changed(intent_item(5, "/y/")),
        at(20),
    );
    let outcome = arrive(&mut state, 2, "/x/a", at(21));
    assert!(matches!(
        outcome,
        ArrivalOutcome::Rejected(RejectReason::NoRoute)
    ));
    assert!(is_taken(&arrive(&mut state, 3, "/y/a", at(21))));
    feed(
        &mut state,
        Feed::RoutingConfig,
        changed(intent_item(3, "/x/")),
        at(30),
    );
    list(
        &mut state,
        Feed::RoutingConfig,
        vec![intent_item(4, "/x/")],
        at(31),
    );
    assert!(is_taken(&arrive(&mut state, 4, "/y/a", at(32))));
}

#[test]
fn a_configuration_that_cannot_be_read_leaves_the_last_one_in_force() {
    let mut state = ready("n1", "n2");
    let spoiled = FeedItem::Unreadable {
        name: "main".into(),
        reason: "no version".to_owned(),
    };
    feed(&mut state, Feed::RoutingConfig, changed(spoiled), at(20));
    let removed = FeedEvent::Changed(vec![FeedChange::Removed("main".into())], ObjectVersion(9));
    feed(&mut state, Feed::RoutingConfig, removed, at(21));
    assert!(is_taken(&arrive(&mut state, 1, "/x/a", at(22))));
}

#[test]
fn nodes_tell_one_another_of_configurations() {
    let mut state = ready("n1", "n2");
    let effects = state.handle(digest("n2", true, 0), at(100));
    let sent = effects.iter().any(|effect| {
        matches!(
            effect,
            EdgeEffect::Send {
                message: PeerMessage::RoutingConfig(..),
                ..
            }
        )
    });
    assert!(sent, "{effects:?}");
    let again = state.handle(digest("n2", true, 0), at(150));
    assert!(again.is_empty(), "it is on its way: {again:?}");
    let told = PeerMessage::RoutingConfig(Arc::new(intent(8, "/z/")), "text".into());
    state.handle(EdgeEvent::Peer(told), at(200));
    assert!(is_taken(&arrive(&mut state, 1, "/z/a", at(201))));
}

#[test]
fn an_endpoint_that_leaves_gets_nothing_more() {
    let mut state = ready("n1", "n2");
    let mut leaving = endpoint("p-1");
    leaving.presence = replicas::Presence::Leaving;
    feed(
        &mut state,
        Feed::Endpoints,
        changed(FeedItem::Endpoint(leaving)),
        at(10),
    );
    assert!(!is_taken(&arrive(&mut state, 1, "/x/a", at(11))));
}

#[test]
fn an_endpoint_that_an_outage_dropped_is_kept_for_two_seconds() {
    let mut state = ready("n1", "n2");
    feed(&mut state, Feed::Endpoints, FeedEvent::Lost, at(1_000));
    list(&mut state, Feed::Endpoints, Vec::new(), at(5_000));
    assert!(is_taken(&arrive(&mut state, 1, "/x/a", at(5_100))));
    state.wake(at(7_300));
    list(&mut state, Feed::Endpoints, Vec::new(), at(7_300));
    assert!(!is_taken(&arrive(&mut state, 2, "/x/a", at(7_301))));
}

#[test]
fn an_endpoint_that_is_removed_without_an_outage_is_gone_at_once() {
    let mut state = ready("n1", "n2");
    let removed = FeedEvent::Changed(vec![FeedChange::Removed("p-1".into())], ObjectVersion(9));
    feed(&mut state, Feed::Endpoints, removed, at(10));
    assert!(!is_taken(&arrive(&mut state, 1, "/x/a", at(11))));
}

#[test]
fn an_entry_of_another_writer_touches_nothing_else() {
    let mut state = ready("n1", "n2");
    let spoiled = FeedItem::Unreadable {
        name: "p-9".into(),
        reason: "no address".to_owned(),
    };
    feed(&mut state, Feed::Endpoints, changed(spoiled), at(10));
    assert!(is_taken(&arrive(&mut state, 1, "/x/a", at(11))));
}

#[test]
fn the_first_node_that_reaches_the_store_owns_the_groups() {
    let mut state = ready("n2", "n1");
    state.handle(digest("n1", true, 1), at(400));
    state.wake(at(500));
    assert!(!status(&mut state, at(500)).is_owner);
    state.handle(digest("n1", false, 1), at(600));
    state.wake(at(700));
    assert!(status(&mut state, at(700)).is_owner);
}

#[test]
fn a_node_that_is_not_heard_owns_nothing() {
    let mut state = ready("n2", "n1");
    state.handle(digest("n1", true, 1), at(400));
    state.wake(at(900));
    assert!(!status(&mut state, at(900)).is_owner);
    state.wake(at(1_300));
    assert!(status(&mut state, at(1_300)).is_owner);
}

#[test]
fn a_node_that_lost_the_store_gives_the_groups_up() {
    let mut state = ready("n1", "n2");
    state.wake(at(500));
    assert!(status(&mut state, at(500)).is_owner);
    feed(&mut state, Feed::Endpoints, FeedEvent::Lost, at(600));
    state.wake(at(700));
    assert!(!status(&mut state, at(700)).is_owner);
}

#[test]
fn a_stopping_node_is_unready_at_once_and_serves_until_it_drains() {
    let mut state = ready("n1", "n2");
    let effects = state.handle(EdgeEvent::Stop, at(1_000));
    assert!(matches!(effects[..], [EdgeEffect::Close]));
    assert!(!status(&mut state, at(1_001)).is_ready);
    assert!(is_taken(&arrive(&mut state, 1, "/x/a", at(1_500))));
    let drains = |effects: &[EdgeEffect]| {
        effects
            .iter()
            .any(|effect| matches!(effect, EdgeEffect::Drain))
    };
    assert!(!drains(&state.wake(at(3_500))));
    assert!(drains(&state.wake(at(3_600))));
    let ends = state.wake(at(8_500));
    assert!(ends.iter().any(|effect| matches!(effect, EdgeEffect::Exit)));
}

#[test]
fn a_node_that_comes_back_leaves_the_groups_to_the_one_that_has_them() {
    let mut state = ready("n1", "n2");
    let owner = edge::Digest {
        from: crate::support::node("n2"),
        intent_version: 1,
        record_version: ObjectVersion(0),
        places_version: ObjectVersion(0),
        owns: true,
        can_own: true,
        counts: Vec::new(),
        silent: Vec::new(),
        paces: Vec::new(),
    };
    state.handle(
        EdgeEvent::Peer(PeerMessage::Digest(Box::new(owner))),
        at(400),
    );
    state.wake(at(500));
    assert!(!status(&mut state, at(500)).is_owner);
}

#[test]
fn a_slow_group_gets_as_many_requests_as_it_can_run_in_time() {
    let slots = |factor: f64| edge::SlowPace::new(factor).map(|pace| pace.scale(17));
    assert_eq!(slots(1.1), None, "reports of a healthy group vary");
    assert_eq!(slots(5.0), Some(3));
    assert_eq!(slots(f64::INFINITY), Some(1));
}

/// Questions to an engine within a second after two of them got no answer.
fn questions_after_silence(is_busy: bool) -> usize {
    let mut state = ready("n1", "n2");
    for now in (10..400).step_by(10) {
        state.wake(at(now));
    }
    let mut engine = crate::support::endpoint("e-1");
    engine.fabric = Some(FabricName::new("d0").unwrap());
    let items = vec![FeedItem::Endpoint(engine.clone())];
    list(&mut state, Feed::Endpoints, items, at(400));
    let mut asked = 0;
    for now in (410..1_400).step_by(10) {
        // A loop that is busy looks only every 120 ms.
        if is_busy && now % 120 != 0 {
            continue;
        }
        let effects = state.wake(at(now));
        for effect in effects {
            if matches!(effect, EdgeEffect::Probe { .. }) {
                asked += 1;
                let silent = replicas::ReportOutcome::NoResponse;
                state.handle(EdgeEvent::Reported(engine.id.clone(), silent), at(now));
            }
        }
    }
    asked
}

#[test]
fn silence_that_a_busy_node_hears_is_not_the_endpoints() {
    assert_eq!(
        questions_after_silence(false),
        2,
        "then it is taken for lost"
    );
    assert!(
        questions_after_silence(true) > 5,
        "it is asked again and again"
    );
}
