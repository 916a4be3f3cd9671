//! Settings of the ledger.

use base::prelude::*;

/// Settings of the ledger.
///
/// The shard count must be the same on every node and must not change while keys are
/// retained; otherwise nodes would look for the same record in different shards.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LedgerSettings {
    /// Number of shards.
    pub shard_count: u32,
    /// Delay of a write to an idle shard, to batch more records into it.
    pub batch_delay: Duration,
    /// Backoff after the first failed request to the store; doubles up to the maximum.
    pub min_backoff: Duration,
    /// Maximum backoff between requests to the store about one shard.
    pub max_backoff: Duration,
    /// Age up to which a cached shard is written without a read before.
    pub cache_validity: Duration,
    /// Longest time that a call may run at an endpoint.
    pub run_timeout: Duration,
    /// Longest delay of a response until it is recorded; afterwards the caller gets it anyway.
    pub record_timeout: Duration,
    /// Minimum time between two epochs; at least the run timeout.
    pub epoch_duration: Duration,
    /// Whole epochs for which a key is retained.
    pub retention_epochs: u64,
    /// Largest response body that is kept, in bytes.
    pub max_body_bytes: usize,
    /// Largest shard that accepts new start records, in bytes.
    pub max_shard_bytes_for_records: usize,
    /// Largest shard that accepts response bodies, in bytes.
    pub max_shard_bytes_for_bodies: usize,
}

impl Default for LedgerSettings {
    fn default() -> Self {
        Self {
            shard_count: 4_096,
            batch_delay: Duration::from_millis(2),
            min_backoff: Duration::from_millis(25),
            max_backoff: Duration::from_secs(1),
            cache_validity: Duration::from_secs(1),
            run_timeout: Duration::from_secs(60),
            record_timeout: Duration::from_secs(2),
            epoch_duration: Duration::from_secs(60 * 60),
            retention_epochs: 24,
            max_body_bytes: 16_384,
            max_shard_bytes_for_records: 700_000,
            max_shard_bytes_for_bodies: 900_000,
        }
    }
}
