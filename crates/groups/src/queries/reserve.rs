//! Cost comparison between one more group and more spare hosts.
//!
//! The number of hosts that are missing at one time is modelled as Poisson
//! distributed. A missing host without a spare takes a whole group down. That has
//! two costs: the downtime (`downtime_cost`) and the group's other hosts, which
//! are stranded. The deployment's downtime weight sets the ratio of the two.

use document::DeploymentSpec;

use crate::{GroupSettings, SpareRule};

/// Host counts of a fabric domain before one more group is formed.
pub(crate) struct HostSupply {
    /// Live hosts.
    pub hosts: usize,
    /// Hosts in no group.
    pub free: usize,
    /// Size of its largest group.
    pub largest: usize,
}

/// Whether forming one more group from the free hosts costs no more than
/// keeping them as spares.
pub(crate) fn should_grow(
    spec: &DeploymentSpec,
    supply: &HostSupply,
    settings: &GroupSettings,
) -> bool {
    let Some(spares_left) = supply.free.checked_sub(spec.group_size) else {
        return false;
    };
    if let SpareRule::Fixed(spares) = settings.spare_rule {
        return spares_left >= spares;
    }
    let mean_missing = supply.hosts as f64 * settings.missing_share;
    let extra_down =
        expected_shortage(mean_missing, spares_left) - expected_shortage(mean_missing, supply.free);
    let weight = spec.downtime_weight;
    let largest = supply.largest.max(spec.group_size);
    let stranded_by_one = largest.saturating_sub(1) as f64;
    let cost_of_one = weight * settings.downtime_cost + (1.0 - weight) * stranded_by_one;
    let gain = (1.0 - weight) * spec.group_size as f64;
    extra_down * cost_of_one <= gain
}

/// Expected number of missing hosts that are not covered by this number of spares.
fn expected_shortage(mean: f64, spares: usize) -> f64 {
    let mut probability = (-mean).exp();
    let mut covered = 0.0;
    let mut cumulative = 0.0;
    for missing in 0..=spares {
        covered += probability * missing as f64;
        cumulative += probability;
        probability *= mean / (missing + 1) as f64;
    }
    let uncovered_mean = mean - covered;
    uncovered_mean - spares as f64 * (1.0 - cumulative)
}
