//! What a connection has carried.

/// Exchanges that a connection carries before it is replaced, which bounds its memory.
const MAX_EXCHANGES: usize = 256;

/// Answers that the peer of a connection sends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AnswerOrder {
    /// It may send duplicate answers.
    #[default]
    Unproven,
    /// It sends one answer to each request, in order, and no other.
    Strict,
}

/// Exchanges that a connection has carried.
#[derive(Debug, Default)]
pub struct ConnectionHistory {
    order: AnswerOrder,
    /// Hashes of the tags; equal hashes of different tags cost a connection and no more.
    tags: Vec<u64>,
    /// Number of exchanges.
    count: u32,
    /// Whether the last answer carried the tag of its request.
    is_proven: bool,
    /// Whether bytes that belong to no answer may follow the last one.
    is_spoiled: bool,
}

impl ConnectionHistory {
    /// History of a new connection.
    pub fn new(order: AnswerOrder) -> Self {
        Self {
            order,
            ..Self::default()
        }
    }

    /// Number of exchanges, the one under way included.
    pub fn exchange_count(&self) -> u32 {
        self.count
    }

    pub(crate) fn is_strict(&self) -> bool {
        self.order == AnswerOrder::Strict
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.count == 0
    }

    pub(crate) fn is_full(&self) -> bool {
        self.tags.len() >= MAX_EXCHANGES
    }

    pub(crate) fn is_proven(&self) -> bool {
        self.is_proven
    }

    pub(crate) fn is_spoiled(&self) -> bool {
        self.is_spoiled
    }

    pub(crate) fn contains(&self, hash: u64) -> bool {
        self.tags.contains(&hash)
    }

    /// Records a further exchange and returns its number, from one.
    pub(crate) fn record(&mut self, hash: Option<u64>) -> u32 {
        if !self.is_strict() {
            self.tags.extend(hash);
        }
        self.is_proven = false;
        self.count = self.count.saturating_add(1);
        self.count
    }

    pub(crate) fn set_proven(&mut self, is_proven: bool) {
        self.is_proven = is_proven;
    }

    pub(crate) fn spoil(&mut self) {
        self.is_spoiled = true;
    }
}
