//! Whether hosts are worth more in a group or as spares.
//!
//! The number of hosts missing at one time is taken as Poisson distributed. A
//! group that is down costs `downtime_cost` stranded hosts; the deployment's
//! weight says how the two measures compare for its users.

use document::DeploymentSpec;

use crate::{GroupSettings, SpareRule};

/// Whether forming one more group out of the free hosts costs less than
/// keeping them as spares.
pub(crate) fn grows(
    spec: &DeploymentSpec,
    hosts: usize,
    free: usize,
    settings: &GroupSettings,
) -> bool {
    let Some(left) = free.checked_sub(spec.group_size) else {
        return false;
    };
    if let SpareRule::Fixed(spares) = settings.spare_rule {
        return left >= spares;
    }
    let mean = hosts as f64 * settings.missing_share;
    let extra_down = expected_shortage(mean, left) - expected_shortage(mean, free);
    let downtime = spec.downtime_weight * settings.downtime_cost * extra_down;
    let stranded = (1.0 - spec.downtime_weight) * spec.group_size as f64;
    downtime <= stranded
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
