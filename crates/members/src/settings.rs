//! Settings of the peer layer.

use base::prelude::*;

/// Periods, limits and sizes of the peer layer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerSettings {
    /// Name of the cluster; frames of another one are refused.
    pub cluster: Arc<str>,
    /// Time between two heartbeats on a link.
    pub heartbeat_period: Duration,
    /// Silence on a link after which its peer is suspected.
    pub silence_limit: Duration,
    /// Time that a suspected node has to object.
    pub suspicion_limit: Duration,
    /// Time for which a dead node is remembered and tried again.
    pub dead_limit: Duration,
    /// Time between two tries of a dead node or a seed.
    pub probe_period: Duration,
    /// Time for which news of nodes gather before they are passed on.
    pub rumor_delay: Duration,
    /// Time without a catalog change before a difference is compared.
    pub settle_delay: Duration,
    /// Time after which a body is asked for again.
    pub fetch_retry: Duration,
    /// Time between two tries to confirm a version in quarantine.
    pub confirm_retry: Duration,
    /// Time after which an unconfirmed version is forgotten.
    pub quarantine_limit: Duration,
    /// Nodes of a failure domain that watch the store.
    pub watcher_count: usize,
    /// Peers that must announce a version before it is taken over.
    pub witness_count: usize,
    /// Ready peers that stand in for the store when it is down.
    pub proof_count: usize,
    /// Time after the start during which only the store can prove.
    pub store_patience: Duration,
    /// Time over which calls to the store are spread, for each known node.
    pub spread_per_node: Duration,
    /// First wait after a failed call to the store.
    pub store_backoff: Duration,
    /// Longest wait after a failed call to the store.
    pub store_backoff_limit: Duration,
    /// Routing subsets of each region.
    pub subset_count: u32,
    /// Time between two questions for observations.
    pub ask_period: Duration,
    /// Age at which an observation no longer counts.
    pub observation_limit: Duration,
}

impl Default for PeerSettings {
    fn default() -> Self {
        Self {
            cluster: Arc::from("bronzerun"),
            heartbeat_period: Duration::from_secs(1),
            silence_limit: Duration::from_millis(3_500),
            suspicion_limit: Duration::from_secs(4),
            dead_limit: Duration::from_secs(7_200),
            probe_period: Duration::from_secs(15),
            rumor_delay: Duration::from_millis(200),
            settle_delay: Duration::from_millis(300),
            fetch_retry: Duration::from_millis(400),
            confirm_retry: Duration::from_millis(300),
            quarantine_limit: Duration::from_secs(60),
            watcher_count: 3,
            witness_count: 2,
            proof_count: 3,
            store_patience: Duration::from_secs(5),
            spread_per_node: Duration::from_millis(6),
            store_backoff: Duration::from_millis(500),
            store_backoff_limit: Duration::from_secs(20),
            subset_count: 1,
            ask_period: Duration::from_secs(1),
            observation_limit: Duration::from_secs(6),
        }
    }
}
