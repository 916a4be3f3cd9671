//! Bytes a second that messages of one kind may take of a node's link.

use base::prelude::*;

/// Part of the link that a node uses for digests, as a divisor.
const DIGEST_DIVISOR: u64 = 12;
/// Part of the link that a node uses to tell others what all must know of crashes, as a divisor.
const WATCHED_DIVISOR: u64 = 20;
/// The same for its own reports.
const OWN_EVIDENCE_DIVISOR: u64 = 40;
/// Most bytes of such reports that a receiver gets a second if all nodes send them.
const MAX_RECEIVED_EVIDENCE_RATE: u64 = 400_000;
/// The same as a part of the link of a receiver with a link like the sender's, as a divisor.
const RECEIVED_EVIDENCE_DIVISOR: u64 = 20;
/// Part of a second's bytes that may be sent at once, as a divisor.
const BURST_DIVISOR: u64 = 4;
/// Bytes of own reports that may be sent to a receiver at once: the crash of a server with several
/// requests.
const OWN_EVIDENCE_BURST_BYTES: u64 = 2_000;
/// Bytes that may be sent at once on the slowest links.
const MIN_BURST_BYTES: u64 = 8_000;

/// Rate of bytes, and how many may be sent at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ByteRate {
    /// Bytes a second.
    pub per_second: u64,
    /// Bytes at once.
    pub burst: u64,
}

impl ByteRate {
    /// Rate of digests.
    pub fn of_digests(link_rate: u64) -> Self {
        let per_second = (link_rate / DIGEST_DIVISOR).max(1);
        let burst = per_second / BURST_DIVISOR;
        Self { per_second, burst }
    }

    /// Rate of what all nodes must know of crashes.
    pub fn of_watched_evidence(link_rate: u64) -> Self {
        let per_second = (link_rate / WATCHED_DIVISOR).max(1);
        let burst = (per_second / BURST_DIVISOR).max(MIN_BURST_BYTES);
        Self { per_second, burst }
    }

    /// Rate of a node's own reports, which all nodes send to the same receivers.
    pub fn of_own_evidence(link_rate: u64, nodes: usize, receivers: usize) -> Self {
        let (nodes, receivers) = (nodes.max(1) as u64, receivers as u64);
        let received = (link_rate / RECEIVED_EVIDENCE_DIVISOR).min(MAX_RECEIVED_EVIDENCE_RATE);
        let received = received * receivers / nodes;
        let per_second = (link_rate / OWN_EVIDENCE_DIVISOR).min(received).max(1);
        let burst = (per_second / BURST_DIVISOR).max(receivers * OWN_EVIDENCE_BURST_BYTES);
        Self { per_second, burst }
    }

    /// Bytes that may be sent in this time, without a burst.
    pub fn bytes_in(self, time: Duration) -> usize {
        let byte_count = u128::from(self.per_second) * time.as_micros() / 1_000_000;
        usize::try_from(byte_count).unwrap_or(usize::MAX)
    }

    /// Time in which this many bytes may be sent.
    pub fn time_for(self, byte_count: usize) -> Duration {
        let micros = byte_count as u128 * 1_000_000 / u128::from(self.per_second);
        Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }
}

/// What is left of the bytes that may be sent at a rate.
#[derive(Clone, Copy, Debug, Default)]
pub struct ByteBudget {
    /// Instant from which as many bytes as the rate allows may be sent at once.
    full_at: ClockTime,
}

impl ByteBudget {
    /// Bytes that may be sent now.
    pub fn available(&self, rate: ByteRate, now: ClockTime) -> usize {
        let missing = self.full_at.since(now).as_micros() * u128::from(rate.per_second) / 1_000_000;
        let left = u128::from(rate.burst).saturating_sub(missing);
        usize::try_from(left).unwrap_or(usize::MAX)
    }

    /// Records that bytes were sent.
    pub fn spend(&mut self, byte_count: usize, rate: ByteRate, now: ClockTime) {
        self.full_at = self.full_at.max(now) + rate.time_for(byte_count);
    }
}
