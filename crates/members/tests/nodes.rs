//! Failure detection, refutations, restarts and readiness without the store.

mod common;

use common::{after, frame, item, joined, linked, node, ready, record, sent};
use members::{
    NodeIncarnation, NodePhase, NodeRecord, PeerEffect, PeerFrame, PeerMessage, PeerState,
    PeerSummary, ReadinessProof,
};

fn summary(items: u64, is_ready: bool) -> PeerSummary {
    PeerSummary {
        items,
        nodes: 0,
        is_ready,
        is_link: true,
    }
}

/// Advances the time while only some peers send heartbeats.
fn advance(
    state: &mut PeerState,
    active: &[&str],
    millis: std::ops::Range<u64>,
) -> Vec<PeerEffect> {
    let mut effects = Vec::new();
    for at in millis.step_by(500) {
        for name in active {
            let message = PeerMessage::Heartbeat(summary(0, true));
            effects.extend(state.receive(frame(name, message), after(at)));
        }
        effects.extend(state.tick(after(at)));
    }
    effects
}

fn local_summary(state: &mut PeerState, at: u64) -> PeerSummary {
    let messages = sent(&state.tick(after(at)));
    let summaries = messages.into_iter().filter_map(|message| match message {
        PeerMessage::Heartbeat(summary) => Some(summary),
        _ => None,
    });
    summaries.last().expect("a heartbeat was due")
}

fn phase(state: &PeerState, name: &str) -> NodePhase {
    state.node(&node(name)).unwrap().phase
}

#[test]
fn a_silent_peer_is_suspected_disconnected_and_then_declared_dead() {
    let mut state = ready();
    let links: Vec<String> = state.linked_peers().map(|peer| peer.to_string()).collect();
    let silent = linked(&state, false).remove(0);
    let active: Vec<&str> = links
        .iter()
        .map(String::as_str)
        .filter(|name| *name != silent)
        .collect();
    let effects = advance(&mut state, &active, 0..4_500);
    let address = state.node(&node(&silent)).unwrap().address;
    assert!(effects.contains(&PeerEffect::Close { to: address }));
    assert_eq!(phase(&state, &silent), NodePhase::Suspect);
    assert!(state.silent_peers().contains(&node(&silent)));
    advance(&mut state, &active, 4_500..10_000);
    assert_eq!(phase(&state, &silent), NodePhase::Dead);
}

#[test]
fn a_suspected_peer_that_refutes_stays_alive() {
    let mut state = ready();
    let links: Vec<String> = state.linked_peers().map(|peer| peer.to_string()).collect();
    let silent = linked(&state, false).remove(0);
    let active: Vec<&str> = links
        .iter()
        .map(String::as_str)
        .filter(|name| *name != silent)
        .collect();
    advance(&mut state, &active, 0..4_500);
    let suspected = state.node(&node(&silent)).unwrap().clone();
    let refutation = NodeRecord {
        refutations: 1,
        phase: NodePhase::Alive,
        ..suspected
    };
    state.receive(
        frame(active[0], PeerMessage::Nodes(vec![refutation])),
        after(4_600),
    );
    assert_eq!(phase(&state, &silent), NodePhase::Alive);
}

#[test]
fn a_node_that_receives_nothing_suspects_nobody() {
    let mut state = ready();
    let count = state.live_nodes().count();
    advance(&mut state, &[], 0..20_000);
    let alive = state
        .live_nodes()
        .filter(|record| record.phase == NodePhase::Alive);
    assert_eq!(alive.count(), count);
}

#[test]
fn a_peer_of_another_region_is_never_suspected() {
    let mut state = ready();
    let links: Vec<String> = state.linked_peers().map(|peer| peer.to_string()).collect();
    let active: Vec<&str> = links
        .iter()
        .map(String::as_str)
        .filter(|name| *name != "far")
        .collect();
    advance(&mut state, &active, 0..30_000);
    assert_eq!(phase(&state, "far"), NodePhase::Alive);
}

#[test]
fn a_node_refutes_its_own_death_and_yields_to_its_successor() {
    let dead = NodeRecord {
        phase: NodePhase::Dead,
        ..record("own-1", "r", "a", 6_000)
    };
    let successor = NodeRecord {
        incarnation: NodeIncarnation(6),
        ..record("own-1", "r", "a", 6_000)
    };
    for (received, refutations) in [(dead, 1), (successor, 0)] {
        let mut state = ready();
        state.receive(
            frame("peer-0", PeerMessage::Nodes(vec![received])),
            after(10),
        );
        assert_eq!(state.local_node().refutations, refutations);
        assert_eq!(state.local_node().incarnation, NodeIncarnation(5));
        assert_eq!(state.local_node().phase, NodePhase::Alive);
    }
}

#[test]
fn a_restarted_node_replaces_its_earlier_incarnation() {
    let mut state = ready();
    let later = NodeRecord {
        incarnation: NodeIncarnation(6),
        ..record("peer-0", "r", "a", 7_000)
    };
    let join = PeerFrame {
        incarnation: NodeIncarnation(6),
        ..frame("peer-0", PeerMessage::Join(later))
    };
    let answers = sent(&state.receive(join, after(10)));
    assert!(
        answers
            .iter()
            .any(|message| matches!(message, PeerMessage::Nodes(_)))
    );
    let late = state.receive(frame("peer-0", PeerMessage::Confirm(Vec::new())), after(20));
    assert!(matches!(late[0], PeerEffect::Refused { .. }));
}

#[test]
fn ready_peers_prove_readiness_while_the_store_is_down() {
    let cases = [
        (
            "three ready peers",
            3,
            true,
            true,
            6_000,
            Some(ReadinessProof::Peers),
        ),
        ("two ready peers", 2, true, true, 6_000, None),
        ("three unready peers", 3, false, true, 6_000, None),
        ("three peers with other items", 3, true, false, 6_000, None),
        ("within the grace period", 3, true, true, 3_000, None),
    ];
    for (name, count, is_ready, is_same, at, proof) in cases {
        let mut state = joined();
        state.record_listing_failure(after(10));
        let local = local_summary(&mut state, 1_100);
        for peer in 0..count {
            let items = if is_same {
                local.items
            } else {
                local.items ^ 1
            };
            let message = PeerMessage::Heartbeat(summary(items, is_ready));
            state.receive(frame(&format!("peer-{peer}"), message), after(at));
        }
        assert_eq!(state.readiness(), proof, "{name}");
    }
}

#[test]
fn a_node_that_reaches_neither_store_nor_peers_stays_unready() {
    let mut state = joined();
    state.record_listing_failure(after(2));
    for at in (0..600_000).step_by(500) {
        let effects = state.tick(after(at));
        if effects
            .iter()
            .any(|effect| matches!(effect, PeerEffect::WatchListing { .. }))
        {
            state.record_listing_failure(after(at));
        }
    }
    assert!(state.readiness().is_none());
}

#[test]
fn a_ready_node_stays_ready_through_an_outage() {
    let mut state = ready();
    for at in (0..600_000).step_by(500) {
        state.tick(after(at));
        state.record_listing_failure(after(at));
    }
    assert_eq!(state.readiness(), Some(ReadinessProof::Store));
    assert_eq!(state.item(&common::key("pricing")), Some(item(5, "five")));
}

#[test]
fn failed_calls_to_the_store_are_retried_with_backoff() {
    let mut state = joined();
    state.record_listing_failure(after(2));
    let mut calls = 0;
    for at in (0..600_000).step_by(50) {
        let effects = state.tick(after(at));
        if effects
            .iter()
            .any(|effect| matches!(effect, PeerEffect::WatchListing { .. }))
        {
            calls += 1;
            state.record_listing_failure(after(at));
        }
    }
    assert!((25..=70).contains(&calls), "{calls} calls in ten minutes");
}

#[test]
fn a_leaving_node_is_declared_dead_at_once() {
    let mut state = ready();
    let effects = state.leave(after(10));
    let messages = sent(&effects);
    let links = state.linked_peers().count();
    assert_eq!(messages.len(), links);
    let expected = NodeRecord {
        phase: NodePhase::Dead,
        ..record("own-1", "r", "a", 6_000)
    };
    assert_eq!(messages[0], PeerMessage::Nodes(vec![expected]));
}
