//! Commands that record what a node observes.

use base::prelude::*;

use crate::{AdmissionRank, DemandRates};

/// Records the arrival of a request.
pub fn record_arrival(
    rates: &mut DemandRates,
    rank: AdmissionRank,
    workspace: Option<&WorkspaceName>,
    now: ClockTime,
) {
    rates.record(rank, workspace, now);
}
