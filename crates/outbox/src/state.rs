//! State of the outbox.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use base::prelude::*;

use crate::message::BudgetKind;
use crate::{MessageKind, OutboxSettings, WaitingMessage};

/// First address in the order of addresses.
const LOWEST_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

/// Messages that wait for all receivers, and the budgets that they share.
#[derive(Debug)]
pub struct OutboxState<M> {
    pub(crate) settings: OutboxSettings,
    pub(crate) receivers: BTreeMap<SocketAddr, ReceiverState<M>>,
    /// When the next message may be charged to each budget.
    pub(crate) due: BTreeMap<BudgetKind, ClockTime>,
    /// Receivers that wait for a budget while their connection is idle, and since when.
    turns: BTreeSet<(BudgetKind, ClockTime, SocketAddr)>,
}

/// Messages that wait for one receiver.
#[derive(Debug)]
pub(crate) struct ReceiverState<M> {
    /// Latest digest, targets and record.
    pub latest: BTreeMap<MessageKind, WaitingMessage<M>>,
    pub evidence: VecDeque<WaitingMessage<M>>,
    /// Whether its connection could send at once.
    pub is_idle: bool,
    /// Since when it has waited for its turn with each budget.
    turns: BTreeMap<BudgetKind, ClockTime>,
}

impl<M> OutboxState<M> {
    /// Creates an empty outbox.
    pub fn new(settings: OutboxSettings) -> Self {
        Self {
            settings,
            receivers: BTreeMap::new(),
            due: BTreeMap::new(),
            turns: BTreeSet::new(),
        }
    }

    /// Instant from which a budget allows a message.
    pub(crate) fn due_of(&self, budget: BudgetKind) -> ClockTime {
        self.due.get(&budget).copied().unwrap_or_default()
    }

    pub(crate) fn rate_of(&self, budget: BudgetKind) -> u64 {
        match budget {
            BudgetKind::State => self.settings.state_rate,
            BudgetKind::Evidence => self.settings.evidence_rate,
        }
    }

    /// Receiver whose turn it is with a budget: of those whose connection is idle the one that has
    /// waited longest.
    pub(crate) fn next_receiver(&self, budget: BudgetKind) -> Option<SocketAddr> {
        let start = (budget, ClockTime::default(), LOWEST_ADDRESS);
        let first = self.turns.range(start..).next();
        first.filter(|turn| turn.0 == budget).map(|turn| turn.2)
    }

    /// Updates the turns of a receiver that has changed.
    pub(crate) fn update_turns(&mut self, to: SocketAddr) {
        let Some(receiver) = self.receivers.get_mut(&to) else {
            return;
        };
        for budget in BudgetKind::ALL {
            let since = receiver.waiting_since(budget).filter(|_| receiver.is_idle);
            let before = receiver.turns.get(&budget).copied();
            if since == before {
                continue;
            }
            if let Some(before) = before {
                receiver.turns.remove(&budget);
                self.turns.remove(&(budget, before, to));
            }
            if let Some(since) = since {
                receiver.turns.insert(budget, since);
                self.turns.insert((budget, since, to));
            }
        }
    }
}

impl<M> ReceiverState<M> {
    pub fn first(&self, kind: MessageKind) -> Option<&WaitingMessage<M>> {
        match kind {
            MessageKind::Evidence => self.evidence.front(),
            _ => self.latest.get(&kind),
        }
    }

    pub fn first_mut(&mut self, kind: MessageKind) -> Option<&mut WaitingMessage<M>> {
        match kind {
            MessageKind::Evidence => self.evidence.front_mut(),
            _ => self.latest.get_mut(&kind),
        }
    }

    pub fn take(&mut self, kind: MessageKind) -> Option<WaitingMessage<M>> {
        match kind {
            MessageKind::Evidence => self.evidence.pop_front(),
            _ => self.latest.remove(&kind),
        }
    }

    pub fn is_empty(&self) -> bool {
        self.latest.is_empty() && self.evidence.is_empty()
    }

    /// Since when a message that is charged to a budget has waited.
    fn waiting_since(&self, budget: BudgetKind) -> Option<ClockTime> {
        let kinds = MessageKind::ALL.into_iter();
        let kinds = kinds.filter(|kind| kind.budget() == Some(budget));
        let waiting = kinds.filter_map(|kind| self.first(kind));
        waiting.map(|waiting| waiting.waiting_since).min()
    }
}

impl<M> Default for ReceiverState<M> {
    fn default() -> Self {
        Self {
            latest: BTreeMap::new(),
            evidence: VecDeque::new(),
            is_idle: false,
            turns: BTreeMap::new(),
        }
    }
}
