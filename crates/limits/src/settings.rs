//! Settings of admission and retries.

use base::prelude::*;

/// Settings of admission.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitSettings {
    /// Calls that may wait for one service, split between workspaces by share.
    pub queue_limit: usize,
    /// Slots kept from a flooding workspace, for each square root of the
    /// others' running calls.
    pub reserve_burst: f64,
    /// Largest share of the slots that is kept so.
    pub reserve_share: f64,
    /// Times its share from which a workspace that runs so many calls floods.
    pub flood_factor: f64,
    /// Weight of a node's even part of the slots against what it uses.
    pub even_weight: f64,
    /// Parts of the reported free slots that a node may take at once.
    pub burst_factor: f64,
    /// Assumed length of a call before any has ended.
    pub initial_hold: Duration,
    /// Weight of the newest call in the mean length of calls.
    pub hold_weight: f64,
    /// Shortest time after which a refused caller may return.
    pub retry_min: Duration,
    /// Longest time after which a refused caller may return.
    pub retry_max: Duration,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            queue_limit: 1_024,
            reserve_burst: 2.0,
            reserve_share: 0.2,
            flood_factor: 1.5,
            even_weight: 0.5,
            burst_factor: 1.0,
            initial_hold: Duration::from_secs(2),
            hold_weight: 0.05,
            retry_min: Duration::from_secs(1),
            retry_max: Duration::from_secs(30),
        }
    }
}

/// Settings of a retry budget.
#[derive(Clone, Debug, PartialEq)]
pub struct BudgetSettings {
    /// Retries for each request of the window.
    pub retry_share: f64,
    /// Retries that a window allows however few its requests.
    pub retry_floor: u32,
    /// Length of one of the window's buckets.
    pub bucket_duration: Duration,
    /// Buckets in the window.
    pub bucket_count: usize,
}

impl Default for BudgetSettings {
    fn default() -> Self {
        Self {
            retry_share: 0.1,
            retry_floor: 3,
            bucket_duration: Duration::from_secs(1),
            bucket_count: 10,
        }
    }
}

/// Settings of the delays between retries.
#[derive(Clone, Debug, PartialEq)]
pub struct BackoffSettings {
    /// Shortest delay.
    pub delay_min: Duration,
    /// Longest delay.
    pub delay_max: Duration,
    /// Growth of the longest next delay.
    pub growth: u32,
}

impl Default for BackoffSettings {
    fn default() -> Self {
        Self {
            delay_min: Duration::from_millis(50),
            delay_max: Duration::from_secs(5),
            growth: 3,
        }
    }
}
