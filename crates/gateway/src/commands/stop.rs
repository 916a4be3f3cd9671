//! A planned stop: unready first, then closed, then finished.

use base::prelude::*;

use crate::GatewayEffect;
use crate::state::{GatewayState, StopPhase};

/// Begins a planned stop; asking again changes nothing.
pub fn request(state: &mut GatewayState, now: ClockTime) -> Vec<GatewayEffect> {
    if state.stop == StopPhase::Running {
        let accept_until = now + state.times.balancer_notice;
        state.stop = StopPhase::Noticing { accept_until };
    }
    Vec::new()
}

/// Takes the next step of a planned stop once it is due.
pub fn advance(state: &mut GatewayState, now: ClockTime) -> Vec<GatewayEffect> {
    match state.stop {
        StopPhase::Noticing { accept_until } if accept_until <= now => {
            let finish_by = now + state.times.drain_limit;
            state.stop = StopPhase::Draining {
                finish_by,
                callers_gone: false,
            };
            vec![GatewayEffect::StopAccepting]
        }
        StopPhase::Draining { finish_by, .. } if finish_by <= now => finish(state),
        StopPhase::Draining { callers_gone, .. } if callers_gone && is_idle(state) => finish(state),
        _ => Vec::new(),
    }
}

/// Notes that every caller's connection is closed.
///
/// A non-idempotent call may go on without its caller, until its end is recorded.
pub fn note_callers_gone(state: &mut GatewayState) -> Vec<GatewayEffect> {
    if let StopPhase::Draining { callers_gone, .. } = &mut state.stop {
        *callers_gone = true;
    }
    Vec::new()
}

fn is_idle(state: &GatewayState) -> bool {
    state.calls.is_empty() && state.ledger.unsettled_calls() == 0
}

fn finish(state: &mut GatewayState) -> Vec<GatewayEffect> {
    state.stop = StopPhase::Finished;
    vec![GatewayEffect::Finish]
}
