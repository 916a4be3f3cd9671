//! Settings of the peer layer.

use base::prelude::*;

/// Intervals, limits and sizes of the peer layer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerSettings {
    /// Name of the cluster; frames of another cluster are refused.
    pub cluster: Arc<str>,
    /// Time between heartbeats on a link.
    pub heartbeat_interval: Duration,
    /// Time without a frame on a link after which the peer is suspected.
    pub silence_timeout: Duration,
    /// Time that a suspected node has to refute the suspicion.
    pub suspicion_timeout: Duration,
    /// Time for which a dead node is kept and probed.
    pub dead_retention: Duration,
    /// Time between probes of a dead node or a seed.
    pub probe_interval: Duration,
    /// Time for which changed node records are batched before they are forwarded.
    pub rumor_delay: Duration,
    /// Time without changes after which a difference from a peer is compared.
    pub settle_delay: Duration,
    /// Time after which the fetch of a body is retried.
    pub fetch_retry_interval: Duration,
    /// Time after which a body is requested again if the peer asked was busy.
    pub busy_retry_interval: Duration,
    /// Bytes of bodies a second that are sent to all peers together.
    pub body_rate: u32,
    /// Time after which the confirmation of a quarantined version is retried.
    pub confirm_retry_interval: Duration,
    /// Time after which an unconfirmed version is dropped.
    pub quarantine_timeout: Duration,
    /// Number of nodes of a failure domain that watch the store.
    pub watcher_count: usize,
    /// Number of peers whose announcements prove a version.
    pub witness_count: usize,
    /// Number of ready peers that prove readiness while the store is down.
    pub proving_peer_count: usize,
    /// Time after the start during which only the store can prove readiness.
    pub store_grace_period: Duration,
    /// Time, per known node, over which the first calls to the store are spread.
    pub first_call_spread_per_node: Duration,
    /// Backoff after the first failed call to the store.
    pub store_initial_backoff: Duration,
    /// Maximum backoff after failed calls to the store.
    pub store_max_backoff: Duration,
    /// Number of routing subsets of each region.
    pub subset_count: u32,
    /// Time between questions for observations.
    pub ask_interval: Duration,
    /// Age at which an observation expires.
    pub observation_max_age: Duration,
}

/// Half the rate of a link of 20 Mbit/s, in bytes a second.
const DEFAULT_BODY_RATE: u32 = 1_250_000;

impl Default for PeerSettings {
    fn default() -> Self {
        Self {
            cluster: Arc::from("bronzerun"),
            heartbeat_interval: Duration::from_secs(1),
            silence_timeout: Duration::from_millis(3_500),
            suspicion_timeout: Duration::from_secs(4),
            dead_retention: Duration::from_secs(7_200),
            probe_interval: Duration::from_secs(15),
            rumor_delay: Duration::from_millis(200),
            settle_delay: Duration::from_millis(300),
            fetch_retry_interval: Duration::from_millis(400),
            busy_retry_interval: Duration::from_millis(50),
            body_rate: DEFAULT_BODY_RATE,
            confirm_retry_interval: Duration::from_millis(300),
            quarantine_timeout: Duration::from_secs(60),
            watcher_count: 3,
            witness_count: 2,
            proving_peer_count: 3,
            store_grace_period: Duration::from_secs(5),
            first_call_spread_per_node: Duration::from_millis(6),
            store_initial_backoff: Duration::from_millis(500),
            store_max_backoff: Duration::from_secs(20),
            subset_count: 1,
            ask_interval: Duration::from_secs(1),
            observation_max_age: Duration::from_secs(6),
        }
    }
}
