//! Whether hosts are worth more in a group or as spares.
//!
//! The number of hosts missing at one time is taken as Poisson distributed. A
//! missing host without a spare takes a whole group down: that costs
//! `downtime_cost` on one measure and strands the group's other hosts on the
//! other. The deployment's weight says how the two compare for its users.

use document::DeploymentSpec;

use crate::{GroupSettings, SpareRule};

/// Hosts of a fabric domain before one more group is formed in it.
pub(crate) struct HostSupply {
    /// Live hosts.
    pub hosts: usize,
    /// Hosts in no group.
    pub free: usize,
    /// Hosts in its largest group.
    pub largest: usize,
}

/// Whether forming one more group out of the free hosts costs less than
/// keeping them as spares.
pub(crate) fn grows(spec: &DeploymentSpec, supply: &HostSupply, settings: &GroupSettings) -> bool {
    let Some(left) = supply.free.checked_sub(spec.group_size) else {
        return false;
    };
    if let SpareRule::Fixed(spares) = settings.spare_rule {
        return left >= spares;
    }
    let mean = supply.hosts as f64 * settings.missing_share;
    let extra_down = expected_shortage(mean, left) - expected_shortage(mean, supply.free);
    let weight = spec.downtime_weight;
    let largest = supply.largest.max(spec.group_size);
    let stranded_by_one = largest.saturating_sub(1) as f64;
    let cost_of_one = weight * settings.downtime_cost + (1.0 - weight) * stranded_by_one;
    let gain = (1.0 - weight) * spec.group_size as f64;
    extra_down * cost_of_one <= gain
}

/// Mean number of missing hosts that so many spares do not cover.
fn expected_shortage(mean: f64, spares: usize) -> f64 {
    let mut probability = (-mean).exp();
    let mut covered = 0.0;
    let mut reached = 0.0;
    for missing in 0..=spares {
        covered += probability * missing as f64;
        reached += probability;
        probability *= mean / (missing + 1) as f64;
    }
    let uncovered_mean = mean - covered;
    uncovered_mean - spares as f64 * (1.0 - reached)
}
