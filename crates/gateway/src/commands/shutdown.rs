//! Graceful shutdown: not ready, then draining, then finished.

use base::prelude::*;

use super::peers;
use crate::GatewayEffect;
use crate::state::{GatewayState, ShutdownPhase};

/// Begins a graceful shutdown; further requests have no effect.
pub fn begin(state: &mut GatewayState, now: ClockTime) -> Vec<GatewayEffect> {
    if state.shutdown == ShutdownPhase::Running {
        let accept_until = now + state.times.balancer_notice;
        state.shutdown = ShutdownPhase::NotReady { accept_until };
    }
    Vec::new()
}

/// Advances a graceful shutdown to its next phase once that is due.
pub fn advance(state: &mut GatewayState, now: ClockTime) -> Vec<GatewayEffect> {
    match state.shutdown {
        ShutdownPhase::NotReady { accept_until } if accept_until <= now => {
            let drain_deadline = now + state.times.drain_limit;
            state.shutdown = ShutdownPhase::Draining {
                drain_deadline,
                callers_disconnected: false,
            };
            let mut effects = peers::leave(state, now);
            effects.push(GatewayEffect::StopAccepting);
            effects
        }
        ShutdownPhase::Draining { drain_deadline, .. } if drain_deadline <= now => finish(state),
        ShutdownPhase::Draining {
            callers_disconnected,
            ..
        } if callers_disconnected && is_idle(state) => finish(state),
        _ => Vec::new(),
    }
}

/// Records that all callers' connections are closed.
///
/// A non-idempotent call may go on without its caller until its outcome is
/// recorded.
pub fn record_callers_disconnected(state: &mut GatewayState) -> Vec<GatewayEffect> {
    if let ShutdownPhase::Draining {
        callers_disconnected,
        ..
    } = &mut state.shutdown
    {
        *callers_disconnected = true;
    }
    Vec::new()
}

fn is_idle(state: &GatewayState) -> bool {
    state.calls.is_empty() && state.ledger.unsettled_calls() == 0
}

fn finish(state: &mut GatewayState) -> Vec<GatewayEffect> {
    state.shutdown = ShutdownPhase::Finished;
    vec![GatewayEffect::Finish]
}
