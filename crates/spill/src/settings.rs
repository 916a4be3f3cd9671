//! Thresholds of the plan.

use base::prelude::*;

/// Fraction of a domain's capacity up to which other domains' requests are planned into it.
/// Arrivals vary, and its own callers must still find free slots.
const RECEIVER_FILL: f64 = 0.9;
/// Requests in flight per slot below which a domain's own servers serve in time whatever the
/// estimate of their capacity says. A domain that rightly sends requests away is nearly full.
const MIN_SENDER_FILL: f64 = 0.5;
/// Fraction of the way to its new value that a share moves in one step.
const STEP_FRACTION: f64 = 1.0 / 3.0;
/// Share below which nothing leaves, and difference below which a share takes its new value.
const MIN_SHARE: f64 = 0.01;
/// Age above which requests in flight are unknown, as counts expire after a second.
const MAX_COUNTS_AGE: Duration = Duration::from_secs(1);
/// Age above which own servers come first.
const MAX_PLAN_AGE: Duration = Duration::from_secs(3);
/// Change of a share from which it is reported.
const REPORTED_CHANGE: f64 = 0.05;

/// Thresholds of the plan.
#[derive(Clone, Debug)]
pub struct SpillSettings {
    /// Fraction of a domain's capacity up to which other domains' requests are planned into it.
    pub receiver_fill: f64,
    /// Requests in flight per slot below which a domain's own servers serve in time.
    pub min_sender_fill: f64,
    /// Fraction of the way to its new value that a share moves in one step.
    pub step_fraction: f64,
    /// Share below which nothing leaves.
    pub min_share: f64,
    /// Age above which the previous plan stays in force.
    pub max_counts_age: Duration,
    /// Age above which own servers come first.
    pub max_plan_age: Duration,
    /// Change of a share from which it is reported.
    pub reported_change: f64,
}

impl Default for SpillSettings {
    fn default() -> Self {
        Self {
            receiver_fill: RECEIVER_FILL,
            min_sender_fill: MIN_SENDER_FILL,
            step_fraction: STEP_FRACTION,
            min_share: MIN_SHARE,
            max_counts_age: MAX_COUNTS_AGE,
            max_plan_age: MAX_PLAN_AGE,
            reported_change: REPORTED_CHANGE,
        }
    }
}
