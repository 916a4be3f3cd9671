//! Versions that a node knows of before it has them.

mod common;

use base::prelude::*;
use common::{after, frame, item, key, linked, ready, sent};
use members::{Item, PeerEffect, PeerMessage, PeerState, PeerSummary};

const IN_FORCE: ObjectVersion = ObjectVersion(5);

fn notice(state: &mut PeerState, from: &str, item: &Item, now: ClockTime) -> Vec<PeerEffect> {
    let summary = PeerSummary {
        items: 0,
        nodes: 0,
        is_ready: false,
        is_link: true,
    };
    let known = vec![item.entry()];
    state.receive(frame(from, PeerMessage::Notice { summary, known }), now)
}

fn behind_since(state: &PeerState, version: ObjectVersion) -> Option<ClockTime> {
    state.behind_since(&key("pricing"), version)
}

fn notices(effects: &[PeerEffect]) -> usize {
    let messages = sent(effects);
    let notices = messages.iter();
    notices
        .filter(|message| matches!(message, PeerMessage::Notice { .. }))
        .count()
}

#[test]
fn a_version_counts_as_known_once_a_watcher_or_two_peers_name_it() {
    let mut state = ready();
    let watcher = linked(&state, true).remove(0);
    notice(&mut state, &watcher, &item(6, "six"), after(10));
    assert_eq!(behind_since(&state, IN_FORCE), Some(after(10)));

    let mut state = ready();
    let peers = linked(&state, false);
    notice(&mut state, &peers[0], &item(6, "six"), after(10));
    notice(&mut state, &peers[0], &item(6, "six"), after(20));
    assert_eq!(behind_since(&state, IN_FORCE), None);
    notice(&mut state, &peers[1], &item(6, "six"), after(30));
    assert_eq!(behind_since(&state, IN_FORCE), Some(after(30)));
}

#[test]
fn a_known_version_is_named_to_the_linked_peers_once() {
    let mut state = ready();
    let watcher = linked(&state, true).remove(0);
    let effects = notice(&mut state, &watcher, &item(6, "six"), after(10));
    assert_eq!(notices(&effects), state.linked_peers().count());
    let effects = notice(&mut state, &watcher, &item(6, "six"), after(20));
    assert_eq!(notices(&effects), 0);
}

#[test]
fn a_notice_proves_no_version() {
    let mut state = ready();
    for peer in linked(&state, true)
        .into_iter()
        .chain(linked(&state, false))
    {
        let effects = notice(&mut state, &peer, &item(6, "six"), after(10));
        let messages = sent(&effects);
        let is_fetch = |message: &PeerMessage| matches!(message, PeerMessage::Fetch(_));
        assert!(!messages.iter().any(is_fetch), "{messages:?}");
    }
    assert_eq!(state.version(&key("pricing")), Some(IN_FORCE));
}

#[test]
fn a_node_is_behind_since_the_first_version_that_it_lacks_however_many_follow() {
    let mut state = ready();
    let watcher = linked(&state, true).remove(0);
    for version in 6..=40 {
        notice(&mut state, &watcher, &item(version, "next"), after(version));
    }
    assert_eq!(behind_since(&state, IN_FORCE), Some(after(6)));
    assert_eq!(behind_since(&state, ObjectVersion(38)), Some(after(39)));
    assert_eq!(behind_since(&state, ObjectVersion(40)), None);
    state.apply_store_item(item(39, "next"), after(100));
    assert_eq!(behind_since(&state, ObjectVersion(39)), Some(after(40)));
}

#[test]
fn a_version_that_later_reads_of_the_store_do_not_bring_is_forgotten() {
    let mut state = ready();
    let watcher = linked(&state, true).remove(0);
    notice(&mut state, &watcher, &item(6, "six"), after(0));
    state.apply_store_item(item(5, "five"), after(4_000));
    assert_eq!(behind_since(&state, IN_FORCE), Some(after(0)));
    state.apply_store_item(item(5, "five"), after(6_000));
    assert_eq!(behind_since(&state, IN_FORCE), None);
}

#[test]
fn a_version_that_never_comes_is_forgotten_after_a_minute() {
    let mut state = ready();
    let watcher = linked(&state, true).remove(0);
    notice(&mut state, &watcher, &item(6, "six"), after(0));
    state.tick(after(61_000));
    assert_eq!(behind_since(&state, IN_FORCE), None);
}
