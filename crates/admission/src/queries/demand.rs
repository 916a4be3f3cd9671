//! Demand that competes with a request.

use base::prelude::*;

use crate::{AdmissionRank, DemandRates, RankDemand};

/// Demand of all nodes, if `ratio` is the ratio of their demand to that of this node.
pub fn demand(
    rates: &DemandRates,
    rank: AdmissionRank,
    workspace: Option<&WorkspaceName>,
    ratio: f64,
    now: ClockTime,
) -> RankDemand {
    rates.demand(rank, workspace, ratio, now)
}
