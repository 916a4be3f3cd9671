//! Next deadline of the gateway.

use base::prelude::*;

use crate::GatewayState;
use crate::peers::PeerLayer;
use crate::state::ShutdownPhase;

/// Earliest deadline of the gateway's state; `None` if nothing is due.
pub fn next_deadline(state: &GatewayState) -> Option<ClockTime> {
    let reads = watch::queries::next_deadline(&state.watch);
    let reports = state.reports.values().map(|timed| timed.valid_until).min();
    let shutdown = match state.shutdown {
        ShutdownPhase::NotReady { accept_until } => Some(accept_until),
        ShutdownPhase::Draining { drain_deadline, .. } => Some(drain_deadline),
        ShutdownPhase::Running | ShutdownPhase::Finished => None,
    };
    let queues = limits::queries::next_deadline(&state.admission);
    let ledger = state.ledger.next_deadline();
    let peers = state.peers.as_ref().and_then(PeerLayer::next_deadline);
    let holds = state.held.values();
    let holds = holds.map(|hold| hold.lost_at.min(hold.retry_at)).min();
    let deadlines = [reads, reports, shutdown, queues, ledger, peers, holds];
    deadlines.into_iter().flatten().min()
}
