//! Bytes that a node sends in a second, over all receivers.

use std::net::SocketAddr;

use base::prelude::*;
use outbox::commands::{charge, queue, take_next};
use outbox::queries::next_receivers;
use outbox::{MessageKind, OutboxSettings, OutboxState, SendStep};

/// Bytes a second of the smallest and the largest link.
const LINK_RATES: [u64; 2] = [2_500_000, 25_000_000];
const RECEIVERS: u16 = 150;
const TICK_MS: u64 = 5;

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

fn receiver(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// Message that was sent: its receiver, kind, when it was queued and when it was sent.
struct SentMessage {
    port: u16,
    kind: MessageKind,
    queued_at: u64,
    sent_at: u64,
}

/// Sends messages of these kinds to every receiver each so many milliseconds until an instant.
fn run(rate: u64, traffic: &[(MessageKind, u64, usize)], until: u64) -> Vec<SentMessage> {
    let mut state = OutboxState::new(OutboxSettings::for_link(rate));
    let mut sent = Vec::new();
    for now in (0..until).step_by(TICK_MS as usize) {
        for (kind, interval, bytes) in traffic {
            if now % interval == 0 {
                for port in 0..RECEIVERS {
                    queue(&mut state, receiver(port), *kind, now, *bytes, at(now));
                }
            }
        }
        let mut asking: Vec<_> = (0..RECEIVERS).map(receiver).collect();
        while let Some(to) = asking.pop() {
            let SendStep::Send(waiting) = take_next(&mut state, to, at(now)) else {
                continue;
            };
            charge(&mut state, waiting.kind, waiting.byte_count, at(now));
            sent.push(SentMessage {
                port: to.port(),
                kind: waiting.kind,
                queued_at: waiting.message,
                sent_at: now,
            });
            asking.push(to);
            asking.extend(next_receivers(&state));
        }
    }
    sent
}

/// Most bytes of a kind in any second.
fn most_bytes(sent: &[SentMessage], kind: MessageKind, bytes: usize) -> u64 {
    let times: Vec<_> = sent
        .iter()
        .filter(|message| message.kind == kind)
        .map(|message| message.sent_at)
        .collect();
    let counts = times.iter().enumerate().map(|(index, from)| {
        let later = &times[index..];
        later.partition_point(|at| *at < from + 1_000) as u64
    });
    counts.max().unwrap_or(0) * bytes as u64
}

#[test]
fn crash_evidence_takes_a_twentieth_of_the_link_and_delays_no_digest() {
    let bytes = 200_000;
    for rate in LINK_RATES {
        let traffic = [
            (MessageKind::Evidence, 300, bytes),
            (MessageKind::Digest, 100, 1_000),
        ];
        let sent = run(rate, &traffic, 5_000);
        let limit = rate / 20 + 2 * bytes as u64;
        let most = most_bytes(&sent, MessageKind::Evidence, bytes);
        assert!(most <= limit, "{most} bytes at a rate of {rate}");
        let digests = sent
            .iter()
            .filter(|message| message.kind == MessageKind::Digest);
        let digests: Vec<_> = digests.collect();
        assert_eq!(digests.len(), 50 * usize::from(RECEIVERS));
        assert!(
            digests
                .iter()
                .all(|message| message.sent_at == message.queued_at)
        );
    }
}

#[test]
fn targets_and_records_share_a_quarter_of_the_link() {
    let (targets, record) = (60_000, 20_000);
    for rate in LINK_RATES {
        let traffic = [
            (MessageKind::Targets, 50, targets),
            (MessageKind::Record, 50, record),
        ];
        let sent = run(rate, &traffic, 5_000);
        let most = most_bytes(&sent, MessageKind::Targets, targets)
            + most_bytes(&sent, MessageKind::Record, record);
        let limit = rate / 4 + rate / 40 + 2 * targets as u64;
        assert!(most <= limit, "{most} bytes at a rate of {rate}");
        let least = rate * 4 / 4 - rate / 4;
        let total: usize = sent
            .iter()
            .map(|message| match message.kind {
                MessageKind::Targets => targets,
                _ => record,
            })
            .sum();
        assert!(total as u64 >= least, "{total} bytes in five seconds");
    }
}

#[test]
fn every_receiver_gets_its_turn_with_the_newest_targets() {
    let bytes = 60_000;
    let rate = 25_000_000;
    let sent = run(rate, &[(MessageKind::Targets, 20, bytes)], 6_000);
    // All receivers together take 9 MB, a second and a half of the budget.
    for port in 0..RECEIVERS {
        let times: Vec<_> = sent
            .iter()
            .filter(|message| message.port == port)
            .map(|message| message.sent_at)
            .collect();
        assert!(times.len() >= 3, "{port} was sent {} lists", times.len());
        assert!(
            times.windows(2).all(|pair| pair[1] - pair[0] <= 1_600),
            "{port}: {times:?}"
        );
    }
    assert!(
        sent.iter()
            .all(|message| message.sent_at - message.queued_at < 20)
    );
}

#[test]
fn a_waiting_connection_is_told_when_to_ask_again() {
    let mut state = OutboxState::new(OutboxSettings {
        burst: Duration::ZERO,
        ..OutboxSettings::for_link(2_000_000)
    });
    let to = receiver(1);
    // 10,000 bytes at a twentieth of the link's rate take 100 ms.
    charge(&mut state, MessageKind::Evidence, 10_000, at(50));
    queue(&mut state, to, MessageKind::Evidence, 0, 10, at(60));
    assert_eq!(
        take_next(&mut state, to, at(60)),
        SendStep::WaitUntil(at(150))
    );
    // The budget of targets is another one.
    queue(&mut state, to, MessageKind::Targets, 0, 10, at(60));
    assert!(matches!(
        take_next(&mut state, to, at(60)),
        SendStep::Send(waiting) if waiting.kind == MessageKind::Targets
    ));
    let SendStep::Send(waiting) = take_next(&mut state, to, at(150)) else {
        panic!("the budget is free again");
    };
    assert_eq!(waiting.delayed_since, Some(at(60)));
}
