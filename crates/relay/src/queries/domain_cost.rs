//! Cost of a target by its failure domain.

use crate::{RelayState, SendTarget};

/// Utilization that is added to a target for its failure domain; zero in this node's own.
pub(super) fn domain_cost(state: &RelayState, target: &SendTarget) -> f64 {
    if target.domain == state.domain {
        0.0
    } else {
        state.settings.cross_domain_penalty
    }
}
