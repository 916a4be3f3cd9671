//! Fair shares of what is left.

use crate::{RankDemand, WorkspaceDemand};

/// Steps of the search for the level; each halves the error.
const SEARCH_STEPS: usize = 30;

/// Probability with which a request of a workspace is admitted if the workspaces' shares are
/// limited to a level.
pub(super) fn share_probability(demand: &WorkspaceDemand, level: f64) -> f64 {
    if demand.certain <= level {
        return 1.0;
    }
    level / demand.certain
}

/// Level up to which each workspace's certain demand is admitted, so that all admissions together
/// use the supply; infinite if the supply covers all demand.
///
/// A workspace with few requests may exceed its share by chance alone, so that not all of its
/// measured rate counts against it.
pub(super) fn fair_level(demand: &RankDemand, supply: f64) -> f64 {
    let total = demand.equal();
    if total <= supply {
        return f64::INFINITY;
    }
    let admitted = |level: f64| {
        let rates = demand.by_workspace();
        let rates = rates.map(|entry| entry.rate * share_probability(entry, level));
        rates.sum::<f64>()
    };
    let (mut low, mut high) = (0.0, total);
    for _ in 0..SEARCH_STEPS {
        let middle = (low + high) / 2.0;
        if admitted(middle) > supply {
            high = middle;
        } else {
            low = middle;
        }
    }
    low
}
