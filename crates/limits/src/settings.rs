//! Settings for admission and retries.

use base::prelude::*;

/// Settings for admission.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitSettings {
    /// Number of calls that may wait for one service, split between workspaces by share.
    pub queue_limit: usize,
    /// Slots that a flooding workspace may not use, per square root of the other
    /// workspaces' running calls.
    pub reserve_burst: f64,
    /// Largest share of a service's slots that is reserved in this way.
    pub reserve_share: f64,
    /// Multiple of its fair share of running calls from which a workspace counts as
    /// flooding.
    pub flood_factor: f64,
    /// Weight, from 0 to 1, of a node's even part of the slots against its demand.
    pub even_weight: f64,
    /// Multiple of its equal part of the free slots that a node may add to its demand.
    pub burst_factor: f64,
    /// Assumed duration of a call until the first one has ended.
    pub initial_call_duration: Duration,
    /// Weight of the latest call in the moving average of call durations.
    pub duration_weight: f64,
    /// Shortest delay that a refused caller is given for its retry.
    pub retry_delay_min: Duration,
    /// Longest delay that a refused caller is given for its retry.
    pub retry_delay_max: Duration,
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
            initial_call_duration: Duration::from_secs(2),
            duration_weight: 0.05,
            retry_delay_min: Duration::from_secs(1),
            retry_delay_max: Duration::from_secs(30),
        }
    }
}

/// Settings for retry budgets.
#[derive(Clone, Debug, PartialEq)]
pub struct BudgetSettings {
    /// Retries per request in the window.
    pub retry_share: f64,
    /// Number of retries in the window that are always allowed.
    pub retry_floor: u32,
    /// Duration of one bucket of the window.
    pub bucket_duration: Duration,
    /// Number of buckets in the window.
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

/// Settings for the delays between attempts.
#[derive(Clone, Debug, PartialEq)]
pub struct BackoffSettings {
    /// Shortest delay.
    pub delay_min: Duration,
    /// Longest delay.
    pub delay_max: Duration,
    /// Ratio of the longest next delay to the previous delay.
    pub growth_factor: u32,
}

impl Default for BackoffSettings {
    fn default() -> Self {
        Self {
            delay_min: Duration::from_millis(50),
            delay_max: Duration::from_secs(5),
            growth_factor: 3,
        }
    }
}
