//! Settings of the outbox.

use base::prelude::*;

/// Divisors of the link's rate.
const STATE_DIVISOR: u64 = 4;
const EVIDENCE_DIVISOR: u64 = 20;

/// Limits of what waits and of what is sent in a second.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutboxSettings {
    /// Bytes a second of targets and records together.
    pub state_rate: u64,
    /// Bytes a second of crash evidence.
    pub evidence_rate: u64,
    /// Time whose unused bytes a budget keeps.
    pub burst: Duration,
    /// Most messages with evidence that wait for one receiver.
    pub max_evidence_count: usize,
    /// Most bytes of evidence that wait for one receiver, unless a single message is larger.
    pub max_evidence_bytes: usize,
}

impl OutboxSettings {
    /// Settings for a link of this many bytes a second.
    pub fn for_link(rate: u64) -> Self {
        Self {
            state_rate: (rate / STATE_DIVISOR).max(1),
            evidence_rate: (rate / EVIDENCE_DIVISOR).max(1),
            burst: Duration::from_millis(20),
            max_evidence_count: 8,
            max_evidence_bytes: 256 * 1_024,
        }
    }
}
