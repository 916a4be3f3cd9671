//! Messages that wait, and what becomes of them.

use base::prelude::*;

/// Kind of a message, in the order of sending.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MessageKind {
    /// State of the sender, which it sends at regular intervals.
    Digest,
    /// Servers that can be sent requests.
    Targets,
    /// Record of groups.
    Record,
    /// Crashes of servers and what they may be due to.
    Evidence,
}

impl MessageKind {
    /// All kinds, in the order of sending.
    pub const ALL: [Self; 4] = [Self::Digest, Self::Targets, Self::Record, Self::Evidence];

    /// Budget that messages of this kind are charged to; `None` if they have no limit.
    pub(crate) fn budget(self) -> Option<BudgetKind> {
        match self {
            Self::Digest => None,
            Self::Targets | Self::Record => Some(BudgetKind::State),
            Self::Evidence => Some(BudgetKind::Evidence),
        }
    }
}

/// Budget of bytes that several kinds of messages may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum BudgetKind {
    /// Targets and records.
    State,
    /// Crash evidence.
    Evidence,
}

impl BudgetKind {
    pub const ALL: [Self; 2] = [Self::State, Self::Evidence];
}

/// Message that waits to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaitingMessage<M> {
    /// Its kind.
    pub kind: MessageKind,
    /// The message.
    pub message: M,
    /// Its size as far as it was known when it was queued.
    pub byte_count: usize,
    /// Instant at which it was queued.
    pub queued_at: ClockTime,
    /// Since when its receiver has waited for it or for one that it replaced.
    pub waiting_since: ClockTime,
    /// Since when it has waited only for its budget; `None` if it never has.
    pub delayed_since: Option<ClockTime>,
}

/// Why a message is not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscardReason {
    /// A newer one of its kind has taken its place.
    Replaced,
    /// Too many messages of its kind wait.
    Full,
}

/// Message that is not sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DiscardedMessage<M> {
    /// The message.
    pub waiting: WaitingMessage<M>,
    /// Why it isn't sent.
    pub reason: DiscardReason,
}

/// What the connection to a receiver does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SendStep<M> {
    /// It sends a message, and charges its size.
    Send(WaitingMessage<M>),
    /// It waits for the budget until an instant, or for another message.
    WaitUntil(ClockTime),
    /// It waits for another message, or for its turn.
    Wait,
}
