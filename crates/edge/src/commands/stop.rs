//! Graceful shutdown.

use base::prelude::*;

use crate::state::StopState;
use crate::{EdgeEffect, EdgeState};

/// Starts the shutdown: the node is neither ready nor owner any more, but still serves.
pub(crate) fn stop(state: &mut EdgeState, now: ClockTime) -> Vec<EdgeEffect> {
    if state.stopping.is_none() {
        log::info!(calls = state.relay.call_count(); "stopping: no longer ready");
        state.stopping = Some(StopState {
            since: now,
            is_draining: false,
        });
        // The other nodes have to learn at once that this node no longer owns the groups.
        state.digest_due = now;
        return vec![EdgeEffect::Close];
    }
    Vec::new()
}

/// Takes the next step of the shutdown if it is due.
pub(crate) fn advance_stop(state: &mut EdgeState, now: ClockTime) -> Vec<EdgeEffect> {
    let grace = state
        .settings
        .bounds
        .grace
        .saturating_sub(state.times.exit_margin);
    let Some(stop) = &mut state.stopping else {
        return Vec::new();
    };
    if !stop.is_draining && now.since(stop.since) >= state.times.readiness_propagation_delay {
        stop.is_draining = true;
        log::info!(calls = state.relay.call_count(); "stopping: no new connections");
        return vec![EdgeEffect::Drain];
    }
    if now.since(stop.since) >= grace {
        log::info!(calls = state.relay.call_count(); "stopped: grace period over");
        return vec![EdgeEffect::Exit];
    }
    Vec::new()
}
