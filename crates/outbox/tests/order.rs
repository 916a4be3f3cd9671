//! Order in which messages are sent, and which are replaced or dropped.

use std::net::SocketAddr;

use base::prelude::*;
use outbox::commands::{charge, discard, queue, suspend, take_next};
use outbox::queries::{has_waiting, next_receivers, waiting};
use outbox::{DiscardReason, DiscardedMessage, MessageKind, OutboxSettings, OutboxState, SendStep};

const LINK_RATE: u64 = 2_000_000;

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

fn receiver(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn empty() -> OutboxState<&'static str> {
    OutboxState::new(OutboxSettings {
        burst: Duration::ZERO,
        ..OutboxSettings::for_link(LINK_RATE)
    })
}

fn put(
    state: &mut OutboxState<&'static str>,
    port: u16,
    kind: MessageKind,
    name: &'static str,
    now: u64,
) -> Vec<(&'static str, DiscardReason)> {
    let discarded = queue(state, receiver(port), kind, name, 1_000, at(now));
    let names = discarded.into_iter();
    let names = names.map(|DiscardedMessage { waiting, reason }| (waiting.message, reason));
    names.collect()
}

/// Takes the next message and charges it.
fn send(state: &mut OutboxState<&'static str>, port: u16, bytes: usize, now: u64) -> &'static str {
    match take_next(state, receiver(port), at(now)) {
        SendStep::Send(waiting) => {
            charge(state, waiting.kind, bytes, at(now));
            waiting.message
        }
        SendStep::WaitUntil(_) => "wait for the budget",
        SendStep::Wait => "wait",
    }
}

#[test]
fn a_digest_goes_before_everything_that_waited_earlier() {
    let mut state = empty();
    put(&mut state, 1, MessageKind::Evidence, "evidence 1", 0);
    put(&mut state, 1, MessageKind::Evidence, "evidence 2", 1);
    put(&mut state, 1, MessageKind::Record, "record", 2);
    put(&mut state, 1, MessageKind::Targets, "targets", 3);
    put(&mut state, 1, MessageKind::Digest, "digest", 4);
    let sent: Vec<_> = (0..6).map(|_| send(&mut state, 1, 0, 5)).collect();
    let expected = [
        "digest",
        "targets",
        "record",
        "evidence 1",
        "evidence 2",
        "wait",
    ];
    assert_eq!(sent, expected);
}

#[test]
fn the_newest_of_a_kind_replaces_the_one_that_waits() {
    for kind in [
        MessageKind::Digest,
        MessageKind::Targets,
        MessageKind::Record,
    ] {
        let mut state = empty();
        assert!(put(&mut state, 1, kind, "old", 0).is_empty());
        assert_eq!(waiting(&state, receiver(1), kind), Some(&"old"));
        let replaced = put(&mut state, 1, kind, "new", 1);
        assert_eq!(replaced, [("old", DiscardReason::Replaced)], "{kind:?}");
        // Another receiver has a slot of its own.
        assert!(put(&mut state, 2, kind, "other", 1).is_empty());
        assert_eq!(send(&mut state, 1, 0, 2), "new");
        assert!(!has_waiting(&state, receiver(1)));
        assert!(has_waiting(&state, receiver(2)));
    }
}

#[test]
fn the_oldest_evidence_is_dropped_beyond_the_bounds() {
    for (max_evidence_count, max_evidence_bytes) in [(2, 1_000_000), (1_000, 2_500)] {
        let mut state = OutboxState::new(OutboxSettings {
            max_evidence_count,
            max_evidence_bytes,
            ..OutboxSettings::for_link(LINK_RATE)
        });
        assert!(put(&mut state, 1, MessageKind::Evidence, "1", 0).is_empty());
        assert!(put(&mut state, 1, MessageKind::Evidence, "2", 1).is_empty());
        let dropped = put(&mut state, 1, MessageKind::Evidence, "3", 2);
        assert_eq!(dropped, [("1", DiscardReason::Full)]);
    }
}

#[test]
fn a_single_message_larger_than_the_bound_is_kept() {
    let mut state = OutboxState::new(OutboxSettings {
        max_evidence_bytes: 10,
        ..OutboxSettings::for_link(LINK_RATE)
    });
    assert!(put(&mut state, 1, MessageKind::Evidence, "large", 0).is_empty());
    assert_eq!(send(&mut state, 1, 1_000, 1), "large");
}

#[test]
fn a_node_that_is_not_reached_keeps_only_what_is_young() {
    let mut state = empty();
    put(&mut state, 1, MessageKind::Targets, "old targets", 0);
    put(&mut state, 1, MessageKind::Evidence, "old evidence", 0);
    put(&mut state, 1, MessageKind::Evidence, "evidence", 900);
    put(&mut state, 1, MessageKind::Record, "record", 900);
    put(&mut state, 1, MessageKind::Digest, "digest", 1_000);
    let discarded = discard(&mut state, receiver(1), at(500));
    let names: Vec<_> = discarded.iter().map(|waiting| waiting.message).collect();
    assert_eq!(names, ["digest", "old targets", "old evidence"]);
    assert_eq!(send(&mut state, 1, 0, 1_000), "record");
    assert_eq!(send(&mut state, 1, 0, 1_000), "evidence");
    assert_eq!(discard(&mut state, receiver(2), at(500)), []);
}

#[test]
fn a_suspended_connection_does_not_hold_up_the_others() {
    let mut state = empty();
    put(&mut state, 1, MessageKind::Targets, "first", 0);
    put(&mut state, 2, MessageKind::Targets, "second", 1);
    charge(&mut state, MessageKind::Targets, 5_000, at(2));
    // 5,000 bytes at a quarter of the link's rate take 10 ms.
    assert_eq!(
        take_next(&mut state, receiver(1), at(2)),
        SendStep::WaitUntil(at(12))
    );
    assert_eq!(take_next(&mut state, receiver(2), at(2)), SendStep::Wait);
    assert_eq!(
        next_receivers(&state).collect::<Vec<_>>(),
        [receiver(1)],
        "the one that has waited longest"
    );
    suspend(&mut state, receiver(1));
    assert_eq!(next_receivers(&state).collect::<Vec<_>>(), [receiver(2)]);
    assert_eq!(send(&mut state, 2, 0, 12), "second");
}
