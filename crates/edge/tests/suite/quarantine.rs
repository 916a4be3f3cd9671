//! Parts of prompts that crash servers: what one node sees is known to all.

use base::prelude::*;
use edge::border::ports::{CollectionItem, StoreCollection};
use edge::{
    Arrival, ArrivalOutcome, EdgeEffect, EdgeEvent, EdgeQuestion, EdgeReply, EdgeState,
    PeerMessage, RejectReason,
};
use quarantine::{PromptPart, PromptParts, RequestDigest};
use relay::{AttemptEnd, CallStep, StallCause, StallStep};

use crate::support::{arrival, ask, at, digest, endpoint, first_attempt, list, ready};

const COMMON: u64 = 1;
const DEADLY: u64 = 2;

/// Node that knows another one.
fn node_with_server(name: &str, other: &str) -> EdgeState {
    let mut state = ready(name, other);
    list_server(&mut state, 0, at(2));
    state.handle(digest(other, true, 1), at(3));
    state.wake(at(4));
    state
}

/// Replaces the list of servers by a single one.
fn list_server(state: &mut EdgeState, number: u64, now: ClockTime) {
    let server = CollectionItem::Endpoint(endpoint(&format!("p-{number}")));
    list(state, StoreCollection::Endpoints, vec![server], now);
}

fn arrive_with(state: &mut EdgeState, shared: &[u64], own: u64, now: ClockTime) -> ArrivalOutcome {
    let arrival = Arrival {
        prompt: PromptParts {
            shared: shared.iter().copied().map(PromptPart).collect(),
        },
        digest: RequestDigest(own),
        ..arrival(own, "/x/a", now)
    };
    match ask(state, EdgeQuestion::Arrive(Box::new(arrival)), now) {
        EdgeReply::Arrival(outcome) => *outcome,
        other => panic!("no arrival: {other:?}"),
    }
}

fn is_quarantined(state: &mut EdgeState, shared: &[u64], own: u64, now: ClockTime) -> bool {
    let outcome = arrive_with(state, shared, own, now);
    state.handle(EdgeEvent::Finished(CallId(own)), now);
    matches!(
        outcome,
        ArrivalOutcome::Rejected(RejectReason::Quarantined { .. })
    )
}

/// Sends requests with a deadly part, each to a server of its own, which crashes.
fn crash_servers(state: &mut EdgeState, requests: std::ops::Range<u64>) {
    for own in requests {
        let now = at(1_000 + own * 500);
        list_server(state, own, now);
        arrive_with(state, &[COMMON, DEADLY], own, now);
        let ended = EdgeQuestion::Ended(first_attempt(CallId(own)), AttemptEnd::Lost);
        ask(state, ended, now + Duration::from_millis(50));
        state.handle(EdgeEvent::Finished(CallId(own)), now);
    }
}

/// A request with the common part is answered.
fn answer(state: &mut EdgeState, own: u64, now: ClockTime) {
    arrive_with(state, &[COMMON], own, now);
    state.handle(EdgeEvent::Completed(CallId(own)), now);
    state.handle(EdgeEvent::Finished(CallId(own)), now);
}

/// Messages with crash reports.
fn crash_messages(effects: Vec<EdgeEffect>) -> Vec<PeerMessage> {
    let messages = effects.into_iter().filter_map(|effect| match effect {
        EdgeEffect::Send { message, .. } => Some(message),
        _ => None,
    });
    messages
        .filter(|message| matches!(message, PeerMessage::Crashes(_)))
        .collect()
}

#[test]
fn requests_with_a_part_that_crashed_several_servers_are_rejected_at_once() {
    let mut state = node_with_server("n1", "n2");
    crash_servers(&mut state, 10..13);
    answer(&mut state, 50, at(8_000));
    let now = at(8_100);
    assert!(is_quarantined(&mut state, &[COMMON, DEADLY], 60, now));
    assert!(!is_quarantined(&mut state, &[COMMON], 61, now));
    assert!(!is_quarantined(&mut state, &[], 62, now));
}

#[test]
fn crashes_seen_by_different_nodes_add_up() {
    let mut first = node_with_server("n1", "n2");
    let mut second = node_with_server("n2", "n1");
    crash_servers(&mut first, 10..12);
    crash_servers(&mut second, 12..13);
    let now = at(7_060);
    for message in crash_messages(second.wake(now)) {
        first.handle(EdgeEvent::Peer(message), now);
    }
    assert!(is_quarantined(&mut first, &[COMMON, DEADLY], 60, at(7_600)));
}

#[test]
fn a_node_that_starts_or_was_cut_off_learns_of_quarantined_parts_from_a_digest() {
    let mut first = node_with_server("n1", "n2");
    crash_servers(&mut first, 10..13);
    answer(&mut first, 50, at(8_000));
    first.wake(at(8_001));
    // Long after the reports were first sent.
    let now = at(20_000);
    let mut started = node_with_server("n2", "n1");
    let messages = crash_messages(first.handle(digest("n2", true, 1), now));
    assert_eq!(messages.len(), 1);
    for message in messages {
        started.handle(EdgeEvent::Peer(message), now);
    }
    assert!(is_quarantined(&mut started, &[COMMON, DEADLY], 60, now));
    assert!(!is_quarantined(&mut started, &[COMMON], 61, now));
}

#[test]
fn a_quarantine_ends_without_further_crashes() {
    let mut state = node_with_server("n1", "n2");
    crash_servers(&mut state, 10..13);
    assert!(is_quarantined(&mut state, &[COMMON, DEADLY], 60, at(8_000)));
    assert!(!is_quarantined(
        &mut state,
        &[COMMON, DEADLY],
        61,
        at(68_000)
    ));
}

#[test]
fn a_queued_request_is_given_up_once_its_part_is_quarantined() {
    let mut state = node_with_server("n1", "n2");
    let queued = arrive_with(&mut state, &[DEADLY], 40, at(900));
    let is_sent = matches!(
        queued,
        ArrivalOutcome::Accepted {
            step: CallStep::Send(_),
            ..
        }
    );
    assert!(is_sent);
    crash_servers(&mut state, 10..13);
    answer(&mut state, 50, at(7_900));
    let check = EdgeQuestion::Check {
        attempt: first_attempt(CallId(40)),
        is_answering: false,
    };
    assert!(matches!(
        ask(&mut state, check, at(8_000)),
        EdgeReply::Stall(StallStep::Abort(StallCause::Quarantined))
    ));
}

#[test]
fn failed_servers_quarantine_no_part_that_others_answer_completely() {
    let mut state = node_with_server("n1", "n2");
    for own in 10..20 {
        let now = at(1_000 + own * 500);
        arrive_with(&mut state, &[COMMON, DEADLY], own, now);
        state.handle(EdgeEvent::Answered(CallId(own)), now);
        let ended = EdgeQuestion::Ended(first_attempt(CallId(own)), AttemptEnd::Cut);
        ask(&mut state, ended, now + Duration::from_millis(50));
        state.handle(EdgeEvent::Finished(CallId(own)), now);
        // Another request with the same parts is answered completely.
        let other = 100 + own;
        arrive_with(&mut state, &[COMMON, DEADLY], other, now);
        let completed = EdgeEvent::Completed(CallId(other));
        state.handle(completed, now + Duration::from_millis(60));
        state.handle(EdgeEvent::Finished(CallId(other)), now);
    }
    assert!(!is_quarantined(
        &mut state,
        &[COMMON, DEADLY],
        60,
        at(12_000)
    ));
}
