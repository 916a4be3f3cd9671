//! Which versions a node puts into force, and from which senders.

mod common;

use base::prelude::*;
use common::{after, delivered, frame, item, joined, key, linked, ready, sent};
use members::{FrameRefusal, Item, ItemDigest, PeerEffect, PeerMessage, PeerState, StoreListing};

fn announce(state: &mut PeerState, from: &str, item: &Item, now: ClockTime) -> Vec<PeerEffect> {
    let message = PeerMessage::Announce(vec![item.entry()]);
    state.receive(frame(from, message), now)
}

fn send_item(state: &mut PeerState, from: &str, item: &Item, now: ClockTime) -> Vec<PeerEffect> {
    state.receive(frame(from, PeerMessage::Items(vec![item.clone()])), now)
}

fn refusals(effects: &[PeerEffect]) -> Vec<FrameRefusal> {
    let reasons = effects.iter().filter_map(|effect| match effect {
        PeerEffect::Refused { reason, .. } => Some(*reason),
        _ => None,
    });
    reasons.collect()
}

#[test]
fn versions_not_newer_than_the_one_in_force_are_refused() {
    let cases = [
        ("older", item(4, "four"), Some(FrameRefusal::OldVersion)),
        ("same", item(5, "five"), None),
        (
            "same, other body",
            item(5, "forged"),
            Some(FrameRefusal::OtherDigest),
        ),
    ];
    for (name, replayed, reason) in cases {
        let mut state = ready();
        let watcher = linked(&state, true).remove(0);
        let effects = announce(&mut state, &watcher, &replayed, after(10));
        assert_eq!(refusals(&effects).first().copied(), reason, "{name}");
        let effects = send_item(&mut state, &watcher, &replayed, after(20));
        assert_eq!(delivered(&effects), [0_u64; 0], "{name}");
        assert_eq!(state.item(&key("pricing")), Some(item(5, "five")), "{name}");
    }
}

#[test]
fn an_outdated_peer_is_sent_the_newer_version() {
    let mut state = ready();
    let peer = linked(&state, false).remove(0);
    let effects = announce(&mut state, &peer, &item(4, "four"), after(10));
    let expected = PeerMessage::Announce(vec![item(5, "five").entry()]);
    assert!(sent(&effects).contains(&expected));
}

#[test]
fn duplicated_and_reordered_bodies_are_put_into_force_once() {
    let mut state = ready();
    let watcher = linked(&state, true).remove(0);
    announce(&mut state, &watcher, &item(6, "six"), after(10));
    announce(&mut state, &watcher, &item(7, "seven"), after(11));
    let orders = [(7, "seven"), (6, "six"), (7, "seven"), (6, "six")];
    let versions: Vec<u64> = orders
        .iter()
        .flat_map(|(version, body)| {
            delivered(&send_item(
                &mut state,
                &watcher,
                &item(*version, body),
                after(20),
            ))
        })
        .collect();
    assert_eq!(versions, [7]);
}

#[test]
fn one_peer_does_not_prove_a_version() {
    let mut state = ready();
    let peers = linked(&state, false);
    let invented = item(1 << 60, "invented");
    announce(&mut state, &peers[0], &invented, after(10));
    let effects = send_item(&mut state, &peers[0], &invented, after(20));
    assert_eq!(delivered(&effects), [0_u64; 0]);
    announce(&mut state, &peers[0], &invented, after(30));
    assert_eq!(state.quarantined().count(), 1);
    assert_eq!(state.version(&key("pricing")), Some(ObjectVersion(5)));
}

#[test]
fn an_invented_version_does_not_block_a_true_one() {
    let mut state = ready();
    let peers = linked(&state, false);
    let watcher = linked(&state, true).remove(0);
    announce(&mut state, &peers[0], &item(1 << 60, "invented"), after(10));
    announce(&mut state, &watcher, &item(6, "six"), after(20));
    let effects = send_item(&mut state, &watcher, &item(6, "six"), after(30));
    assert_eq!(delivered(&effects), [6]);
}

#[test]
fn two_peers_or_one_watcher_prove_a_version() {
    let state = ready();
    let peers = linked(&state, false);
    let watcher = linked(&state, true).remove(0);
    for witnesses in [vec![peers[0].clone(), peers[1].clone()], vec![watcher]] {
        let mut state = ready();
        for witness in &witnesses {
            announce(&mut state, witness, &item(6, "six"), after(10));
        }
        let effects = send_item(&mut state, &witnesses[0], &item(6, "six"), after(20));
        assert_eq!(delivered(&effects), [6], "{witnesses:?}");
    }
}

#[test]
fn a_quarantined_version_is_checked_with_a_watcher_and_then_with_the_store() {
    let mut state = ready();
    let peer = linked(&state, false).remove(0);
    announce(&mut state, &peer, &item(6, "six"), after(10));
    let mut has_asked = false;
    let mut has_read = false;
    for step in 0..200 {
        let effects = state.tick(after(100 + step * 50));
        has_asked |= sent(&effects)
            .iter()
            .any(|message| matches!(message, PeerMessage::Confirm(_)));
        has_read |= effects.contains(&PeerEffect::ReadItems(vec![key("pricing")]));
        assert!(
            has_asked || !has_read,
            "the store was read before a watcher was asked"
        );
    }
    assert!(has_asked && has_read);
    state.tick(after(70_000));
    assert_eq!(state.quarantined().count(), 0);
}

#[test]
fn a_flood_of_invented_versions_is_bounded() {
    let mut state = ready();
    let peer = linked(&state, false).remove(0);
    for index in 0..5_000 {
        let invented = Item {
            key: key(&format!("invented-{index}")),
            ..item(9, "x")
        };
        announce(&mut state, &peer, &invented, after(10));
    }
    assert!(state.quarantined().count() <= 1_024);
}

#[test]
fn a_body_that_does_not_match_the_proven_digest_is_refused() {
    let mut state = ready();
    let watcher = linked(&state, true).remove(0);
    announce(&mut state, &watcher, &item(6, "six"), after(10));
    let effects = send_item(&mut state, &watcher, &item(6, "forged"), after(20));
    assert_eq!(refusals(&effects), [FrameRefusal::WrongBody]);
    assert_eq!(delivered(&effects), [0_u64; 0]);
    let effects = send_item(&mut state, &watcher, &item(6, "six"), after(30));
    assert_eq!(delivered(&effects), [6]);
}

#[test]
fn a_removed_item_is_not_replaced_by_an_older_version() {
    let mut state = ready();
    let removed = Item {
        body: None,
        ..item(6, "")
    };
    assert_eq!(removed.entry().digest, ItemDigest::REMOVED);
    let watcher = linked(&state, true).remove(0);
    let effects = announce(&mut state, &watcher, &removed, after(10));
    assert_eq!(delivered(&effects), [6]);
    let effects = send_item(&mut state, &watcher, &item(5, "five"), after(20));
    assert_eq!(refusals(&effects), [FrameRefusal::OldVersion]);
}

#[test]
fn an_item_that_is_read_again_is_not_put_into_force_again() {
    let mut state = ready();
    let effects = state.apply_store_item(item(5, "five"), after(10));
    assert_eq!(effects, []);
}

#[test]
fn a_store_reset_to_older_versions_is_reported_and_refused() {
    let mut state = ready();
    let effects = state.apply_store_item(item(3, "three"), after(10));
    assert_eq!(effects, [PeerEffect::StoreBehind(key("pricing"))]);
    let listing = StoreListing {
        version: ObjectVersion(9),
        entries: vec![item(3, "three").entry()],
    };
    let effects = state.apply_store_listing(listing, after(20));
    assert!(effects.contains(&PeerEffect::StoreBehind(key("pricing"))));
    assert_eq!(state.version(&key("pricing")), Some(ObjectVersion(5)));
}

#[test]
fn a_listing_that_is_older_than_the_last_one_proves_nothing() {
    let mut state = ready();
    let listing = StoreListing {
        version: ObjectVersion(4),
        entries: vec![item(8, "eight").entry()],
    };
    state.apply_store_listing(listing, after(10));
    let effects = send_item(&mut state, "peer-0", &item(8, "eight"), after(20));
    assert_eq!(delivered(&effects), [0_u64; 0]);
}

#[test]
fn frames_of_unknown_senders_and_earlier_incarnations_are_refused() {
    let message = || PeerMessage::Announce(vec![item(6, "six").entry()]);
    let good = frame("peer-0", message());
    let cases = [
        (
            FrameRefusal::OtherCluster,
            members::PeerFrame {
                cluster: 1,
                ..good.clone()
            },
        ),
        (FrameRefusal::OwnName, frame("own-1", message())),
        (FrameRefusal::UnknownSender, frame("stranger", message())),
        (
            FrameRefusal::EarlierRun,
            members::PeerFrame {
                incarnation: members::NodeIncarnation(4),
                ..good
            },
        ),
    ];
    for (reason, frame) in cases {
        let effects = ready().receive(frame, after(10));
        assert_eq!(refusals(&effects), [reason]);
        assert_eq!(effects.len(), 1);
    }
}

#[test]
fn a_node_is_not_ready_before_it_holds_what_the_store_lists() {
    let mut state = joined();
    let listing = StoreListing {
        version: ObjectVersion(6),
        entries: vec![item(6, "six").entry()],
    };
    state.apply_store_listing(listing, after(10));
    assert!(state.readiness().is_none());
    let effects = state.apply_store_item(item(6, "six"), after(20));
    assert!(effects.contains(&PeerEffect::Ready));
}

fn request(state: &mut PeerState, from: &str, now: ClockTime) -> Vec<PeerMessage> {
    let message = PeerMessage::Fetch(vec![key("pricing")]);
    sent(&state.receive(frame(from, message), now))
}

#[test]
fn large_bodies_are_sent_at_a_bounded_rate_and_versions_in_their_place() {
    let mut state = ready();
    let large = item(6, &"x".repeat(300_000));
    state.apply_store_item(large.clone(), after(0));
    let peers = linked(&state, false);
    let body = PeerMessage::Items(vec![large.clone()]);
    let version = PeerMessage::Announce(vec![large.entry()]);
    assert_eq!(
        request(&mut state, &peers[0], after(10)),
        std::slice::from_ref(&body)
    );
    assert_eq!(request(&mut state, &peers[1], after(11)), [version]);
    assert_eq!(request(&mut state, &peers[1], after(260)), [body]);
}

#[test]
fn small_bodies_are_sent_without_a_wait() {
    let mut state = ready();
    let peers = linked(&state, false);
    for round in 0..20 {
        let peer = &peers[round % peers.len()];
        let body = PeerMessage::Items(vec![item(5, "five")]);
        assert_eq!(request(&mut state, peer, after(10)), [body]);
    }
}

/// Peers to which requests for bodies were sent.
fn asked(effects: &[PeerEffect]) -> Vec<std::net::SocketAddr> {
    let targets = effects.iter().filter_map(|effect| match effect {
        PeerEffect::Send { to, frame } if matches!(frame.message, PeerMessage::Fetch(_)) => {
            Some(*to)
        }
        _ => None,
    });
    targets.collect()
}

#[test]
fn a_node_leaves_a_busy_peer_for_another_one() {
    let mut state = ready();
    let peers = linked(&state, false);
    announce(&mut state, &peers[0], &item(6, "six"), after(10));
    let effects = announce(&mut state, &peers[1], &item(6, "six"), after(11));
    let first = asked(&effects);
    assert_eq!(first.len(), 1);
    let is_first = |peer: &&String| state.node(&common::node(peer)).unwrap().address == first[0];
    let busy = peers.iter().find(is_first).unwrap().clone();
    announce(&mut state, &busy, &item(6, "six"), after(20));
    let second = asked(&state.tick(after(80)));
    assert_eq!(second.len(), 1, "asked within the interval for busy peers");
    assert_ne!(second, first);
}

#[test]
fn a_body_of_an_earlier_proven_version_is_put_into_force_before_the_newer_one() {
    let mut state = ready();
    let watcher = linked(&state, true).remove(0);
    announce(&mut state, &watcher, &item(6, "six"), after(10));
    announce(&mut state, &watcher, &item(7, "seven"), after(11));
    for (version, body) in [(6, "six"), (7, "seven")] {
        let effects = send_item(&mut state, &watcher, &item(version, body), after(20));
        assert_eq!(delivered(&effects), [version]);
    }
    assert_eq!(state.announced_version(&key("pricing")), None);
}

#[test]
fn a_watchers_answer_with_a_newer_version_is_put_into_force() {
    let mut state = ready();
    let watcher = linked(&state, true).remove(0);
    let unasked = send_item(&mut state, &watcher, &item(6, "six"), after(5));
    assert_eq!(delivered(&unasked), [0_u64; 0], "nobody asked for it");
    announce(&mut state, &watcher, &item(7, "seven"), after(10));
    let effects = send_item(&mut state, &watcher, &item(8, "eight"), after(20));
    assert_eq!(delivered(&effects), [8]);
}
