//! Messages that are sent.

use std::net::SocketAddr;

use base::prelude::*;

use crate::state::ReceiverState;
use crate::{MessageKind, OutboxState, SendStep};

/// Takes the next message for a receiver whose connection could send one now.
///
/// After a message was taken, the connections of [`next_receivers`](crate::queries::next_receivers)
/// have to ask again.
pub fn take_next<M>(state: &mut OutboxState<M>, to: SocketAddr, now: ClockTime) -> SendStep<M> {
    state.receivers.entry(to).or_default().is_idle = true;
    state.update_turns(to);
    let mut next_due: Option<ClockTime> = None;
    for kind in MessageKind::ALL {
        let budget = kind.budget();
        let due = budget.map(|budget| state.due_of(budget));
        let is_next = budget.is_none_or(|budget| state.next_receiver(budget) == Some(to));
        let Some(receiver) = state.receivers.get_mut(&to) else {
            break;
        };
        if receiver.first(kind).is_none() {
            continue;
        }
        if is_next
            && due.is_none_or(|due| due <= now)
            && let Some(waiting) = receiver.take(kind)
        {
            receiver.is_idle = false;
            state.update_turns(to);
            return SendStep::Send(waiting);
        }
        delay(receiver, kind, now);
        if is_next {
            next_due = next_due.into_iter().chain(due).min();
        }
    }
    next_due.map_or(SendStep::Wait, SendStep::WaitUntil)
}

/// Notes that a message waits only for its budget.
fn delay<M>(receiver: &mut ReceiverState<M>, kind: MessageKind, now: ClockTime) {
    if let Some(waiting) = receiver.first_mut(kind) {
        waiting.delayed_since.get_or_insert(now);
    }
}

/// Charges a message that is sent now to the budget of its kind.
pub fn charge<M>(state: &mut OutboxState<M>, kind: MessageKind, byte_count: usize, now: ClockTime) {
    let Some(budget) = kind.budget() else {
        return;
    };
    let byte_count = u64::try_from(byte_count).unwrap_or(u64::MAX);
    let micros = byte_count.saturating_mul(1_000_000) / state.rate_of(budget);
    let earliest = now.before(state.settings.burst);
    let due = state.due_of(budget).max(earliest) + Duration::from_micros(micros);
    state.due.insert(budget, due);
}

/// Lets other receivers go first until this one's connection asks again.
pub fn suspend<M>(state: &mut OutboxState<M>, to: SocketAddr) {
    if let Some(receiver) = state.receivers.get_mut(&to) {
        receiver.is_idle = false;
    }
    state.update_turns(to);
}
