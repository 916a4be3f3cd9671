//! Settings of the decisions on groups.

use base::prelude::*;

/// Spans and costs that the decisions use.
#[derive(Clone, Debug, PartialEq)]
pub struct GroupSettings {
    /// Length of an owner lease, counted from before its renewal is sent.
    pub lease_duration: Duration,
    /// Time after sending a renewal at which the next one is due.
    pub renew_after: Duration,
    /// Extra time that others grant a lease, for clocks that run unevenly.
    pub clock_margin: Duration,
    /// Random extra wait before a free lease is taken.
    pub acquire_jitter: Duration,
    /// Longest time that an order can be under way.
    pub order_limit: Duration,
    /// Wait before an order without effect is given again.
    pub order_retry: Duration,
    /// Life of a report, counted from when it was asked for.
    pub report_validity: Duration,
    /// Wait before a failed store call is tried again.
    pub store_retry: Duration,
    /// Longest wait for the end of an update.
    pub store_limit: Duration,
    /// Silence after which a member is replaced.
    pub missing_timeout: Duration,
    /// Time that a drain takes to be seen by every gateway.
    pub drain_propagation: Duration,
    /// Hosts of one fabric domain that may load weights at once.
    pub load_limit: usize,
    /// Step time over the median from which a member counts as slow.
    pub slow_factor: f64,
    /// Time that a member must stay slow before it is replaced.
    pub straggler_delay: Duration,
    /// Time after which a replaced straggler may replace others again.
    pub straggler_cooldown: Duration,
    /// Share of hosts expected to be missing at any time.
    pub missing_share: f64,
    /// Stranded hosts that weigh as much as one group down, at even weights.
    pub downtime_cost: f64,
    /// Weight under which a broken group gives its members to others.
    pub dissolve_weight: f64,
    /// How many hosts are kept out of groups.
    pub spare_rule: SpareRule,
    /// Which broken groups are broken up.
    pub dissolve_rule: DissolveRule,
    /// Whether spares load a model ahead of need.
    pub preload_spares: bool,
}

/// How many hosts of a fabric domain are kept out of groups.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SpareRule {
    /// As many as the deployment's weight makes worth it.
    ByWeight,
    /// At least so many.
    Fixed(usize),
}

/// Which broken groups are broken up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DissolveRule {
    /// Those whose members help others, by the deployment's weight.
    ByWeight,
    /// None.
    Never,
    /// Every one, as soon as a member is given up.
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
