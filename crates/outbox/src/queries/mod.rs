//! Queries that only read the outbox.

use std::net::SocketAddr;

use crate::message::BudgetKind;
use crate::{MessageKind, OutboxState};

/// Whether anything waits for a receiver.
pub fn has_waiting<M>(state: &OutboxState<M>, to: SocketAddr) -> bool {
    let receiver = state.receivers.get(&to);
    receiver.is_some_and(|receiver| !receiver.is_empty())
}

/// First message of a kind that waits for a receiver.
pub fn waiting<M>(state: &OutboxState<M>, to: SocketAddr, kind: MessageKind) -> Option<&M> {
    let waiting = state.receivers.get(&to)?.first(kind);
    waiting.map(|waiting| &waiting.message)
}

/// Receivers whose turn it is with a budget.
pub fn next_receivers<M>(state: &OutboxState<M>) -> impl Iterator<Item = SocketAddr> {
    let budgets = BudgetKind::ALL.into_iter();
    budgets.filter_map(|budget| state.next_receiver(budget))
}
