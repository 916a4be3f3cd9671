//! A planned stop: unready first, then closed, then finished.

use base::prelude::*;

use super::peers;
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
            state.stop = StopPhase::Draining { finish_by };
            let mut effects = peers::leave(state, now);
            effects.push(GatewayEffect::StopAccepting);
            effects
        }
        StopPhase::Draining { finish_by } if finish_by <= now => finish(state),
        _ => Vec::new(),
    }
}

/// Ends the process; the callers are gone.
pub fn finish(state: &mut GatewayState) -> Vec<GatewayEffect> {
    state.stop = StopPhase::Finished;
    vec![GatewayEffect::Finish]
}
