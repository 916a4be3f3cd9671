//! Messages that begin to wait, and those that no longer do.

use std::net::SocketAddr;

use base::prelude::*;

use crate::state::ReceiverState;
use crate::{
    DiscardReason, DiscardedMessage, MessageKind, OutboxSettings, OutboxState, WaitingMessage,
};

/// Queues a message; returns those that it takes the place of.
///
/// Only the size of evidence matters here.
pub fn queue<M>(
    state: &mut OutboxState<M>,
    to: SocketAddr,
    kind: MessageKind,
    message: M,
    byte_count: usize,
    now: ClockTime,
) -> Vec<DiscardedMessage<M>> {
    let receiver = state.receivers.entry(to).or_default();
    let mut waiting = WaitingMessage {
        kind,
        message,
        byte_count,
        queued_at: now,
        waiting_since: now,
        delayed_since: None,
    };
    let discarded = if kind == MessageKind::Evidence {
        receiver.evidence.push_back(waiting);
        drop_oldest_evidence(receiver, &state.settings)
    } else {
        let replaced = receiver.latest.remove(&kind);
        if let Some(replaced) = &replaced {
            // A message that is replaced all the time must not lose its turn.
            waiting.waiting_since = replaced.waiting_since;
            waiting.delayed_since = replaced.delayed_since;
        }
        receiver.latest.insert(kind, waiting);
        let replaced = replaced.map(|waiting| DiscardedMessage {
            waiting,
            reason: DiscardReason::Replaced,
        });
        replaced.into_iter().collect()
    };
    state.update_turns(to);
    discarded
}

/// Drops the oldest evidence until the rest is within the bounds.
fn drop_oldest_evidence<M>(
    receiver: &mut ReceiverState<M>,
    settings: &OutboxSettings,
) -> Vec<DiscardedMessage<M>> {
    let evidence = &mut receiver.evidence;
    let mut byte_count: usize = evidence.iter().map(|waiting| waiting.byte_count).sum();
    let mut discarded = Vec::new();
    while evidence.len() > 1
        && (evidence.len() > settings.max_evidence_count
            || byte_count > settings.max_evidence_bytes)
    {
        let Some(waiting) = evidence.pop_front() else {
            break;
        };
        byte_count -= waiting.byte_count;
        discarded.push(DiscardedMessage {
            waiting,
            reason: DiscardReason::Full,
        });
    }
    if let (Some(dropped), Some(next)) = (discarded.first(), evidence.front_mut()) {
        next.waiting_since = dropped.waiting.waiting_since;
        next.delayed_since = dropped.waiting.delayed_since;
    }
    discarded
}

/// Removes what can't be sent to a receiver that isn't reached: its digest, which is repeated, and
/// all that was queued before an instant.
pub fn discard<M>(
    state: &mut OutboxState<M>,
    to: SocketAddr,
    queued_before: ClockTime,
) -> Vec<WaitingMessage<M>> {
    let Some(receiver) = state.receivers.get_mut(&to) else {
        return Vec::new();
    };
    let is_discarded = |waiting: &WaitingMessage<M>| {
        waiting.kind == MessageKind::Digest || waiting.queued_at < queued_before
    };
    let latest = receiver
        .latest
        .extract_if(.., |_, waiting| is_discarded(waiting));
    let mut discarded: Vec<_> = latest.map(|(_, waiting)| waiting).collect();
    while receiver.evidence.front().is_some_and(is_discarded) {
        discarded.extend(receiver.evidence.pop_front());
    }
    state.update_turns(to);
    discarded
}
