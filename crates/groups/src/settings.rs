//! Settings for group management.

use base::prelude::*;

/// Timeouts, limits and weights for group management.
#[derive(Clone, Debug, PartialEq)]
pub struct GroupSettings {
    /// Duration of an owner lease, counted from the instant before its renewal is sent.
    pub lease_duration: Duration,
    /// Time between two renewals.
    pub renew_after: Duration,
    /// Extra time that other nodes add to a lease, to cover clock drift.
    pub clock_margin: Duration,
    /// Upper bound of the random delay before an expired lease is acquired.
    pub acquire_jitter: Duration,
    /// Longest time from sending an order to its arrival.
    pub order_limit: Duration,
    /// Time after which an order without effect is sent again.
    pub order_retry: Duration,
    /// Validity of a report, counted from when it was requested.
    pub report_validity: Duration,
    /// Time after which a failed store call is retried.
    pub store_retry: Duration,
    /// Time after which an update without an outcome counts as unresolved.
    pub store_limit: Duration,
    /// Time without a matching report after which a member may be replaced.
    pub missing_timeout: Duration,
    /// Time until every gateway has stopped sending calls to a draining group.
    pub drain_propagation: Duration,
    /// Number of hosts of one fabric domain that may load weights at the same time.
    pub load_limit: usize,
    /// Ratio of a member's step duration to the median above which it counts as slow.
    pub slow_factor: f64,
    /// Time that a member must stay slow before it counts as a straggler.
    pub straggler_delay: Duration,
    /// Time after which a replaced straggler may replace slow members again.
    pub straggler_cooldown: Duration,
    /// Expected fraction of hosts that are missing at any time.
    pub missing_share: f64,
    /// Number of stranded hosts that cost as much as one group that is down, at a
    /// downtime weight of 0.5.
    pub downtime_cost: f64,
    /// Downtime weight below which a broken group's members may be used by other
    /// deployments.
    pub dissolve_weight: f64,
    /// Rule for the number of spare hosts.
    pub spare_rule: SpareRule,
    /// Rule for dissolving broken groups.
    pub dissolve_rule: DissolveRule,
    /// Whether spare hosts preload a model.
    pub preload_spares: bool,
}

/// Rule for the number of spare hosts of a fabric domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SpareRule {
    /// As many as pay off at the deployment's downtime weight.
    ByWeight,
    /// At least this number.
    Fixed(usize),
}

/// Rule for dissolving broken groups.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DissolveRule {
    /// Groups whose members can complete others, subject to the downtime weight.
    ByWeight,
    /// No group is dissolved.
    Never,
    /// Every group, as soon as one of its members is missing.
    Always,
}

impl Default for GroupSettings {
    fn default() -> Self {
        Self {
            lease_duration: Duration::from_secs(15),
            renew_after: Duration::from_secs(5),
            clock_margin: Duration::from_millis(500),
            acquire_jitter: Duration::from_secs(1),
            order_limit: Duration::from_secs(5),
            order_retry: Duration::from_secs(2),
            report_validity: Duration::from_secs(3),
            store_retry: Duration::from_secs(1),
            store_limit: Duration::from_secs(4),
            missing_timeout: Duration::from_secs(6),
            drain_propagation: Duration::from_secs(3),
            load_limit: 4,
            slow_factor: 1.5,
            straggler_delay: Duration::from_secs(60),
            straggler_cooldown: Duration::from_secs(3600),
            missing_share: 0.01,
            downtime_cost: 16.0,
            dissolve_weight: 0.5,
            spare_rule: SpareRule::ByWeight,
            dissolve_rule: DissolveRule::ByWeight,
            preload_spares: true,
        }
    }
}
