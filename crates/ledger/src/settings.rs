//! Settings of the ledger.

use base::prelude::*;

/// Settings of the ledger.
///
/// The shard count must be the same on every node and must not change while keys
/// are remembered: nodes would look for one mark in different places.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LedgerSettings {
    /// Number of shards.
    pub shard_count: u32,
    /// Wait for more marks before a write to an idle shard.
    pub gather: Duration,
    /// First pause after a failed call to the store; doubles up to the longest.
    pub shortest_pause: Duration,
    /// Longest pause between calls to the store about one shard.
    pub longest_pause: Duration,
    /// Age up to which a cached shard is written without reading it first.
    pub cache_trust: Duration,
    /// Longest time that a call may be under way at an endpoint.
    pub run_limit: Duration,
    /// Longest wait for an answer to be recorded before its caller gets it.
    pub record_patience: Duration,
    /// Shortest time between two epochs; at least the run limit.
    pub epoch_length: Duration,
    /// Whole epochs for which a key is remembered.
    pub retention_epochs: u64,
    /// Largest body kept with an answer in bytes.
    pub body_limit: usize,
    /// Largest shard that takes new marks in bytes.
    pub mark_limit: usize,
    /// Largest shard that takes bodies in bytes.
    pub shard_limit: usize,
}

impl Default for LedgerSettings {
    fn default() -> Self {
        Self {
            shard_count: 4_096,
            gather: Duration::from_millis(2),
            shortest_pause: Duration::from_millis(25),
            longest_pause: Duration::from_secs(1),
            cache_trust: Duration::from_secs(1),
            run_limit: Duration::from_secs(60),
            record_patience: Duration::from_secs(2),
            epoch_length: Duration::from_secs(60 * 60),
            retention_epochs: 24,
            body_limit: 16_384,
            mark_limit: 700_000,
            shard_limit: 900_000,
        }
    }
}
