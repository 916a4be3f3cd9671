//! What becomes of calls that wait.

use base::prelude::*;
use limits::{QueueChange, RefusalReason};

use super::calls::{refuse, start};
use super::ledger;
use crate::state::GatewayState;
use crate::{GatewayEffect, RefusalCause, RunState};

/// Starts the calls that a change of the queues admitted and refuses others.
pub fn apply_change(
    state: &mut GatewayState,
    change: QueueChange,
    now: ClockTime,
) -> Vec<GatewayEffect> {
    let mut effects = Vec::new();
    for refusal in change.refused {
        effects.extend(drop_refused(state, refusal));
    }
    for call in change.admitted {
        effects.extend(start(state, call, now));
    }
    effects
}

/// Ends waiting calls whose deadline has come.
pub fn expire(state: &mut GatewayState, now: ClockTime) -> Vec<GatewayEffect> {
    let mut effects = Vec::new();
    if limits::queries::next_deadline(&state.admission).is_some_and(|at| at <= now) {
        let change = limits::commands::expire(&mut state.admission, now);
        effects.extend(apply_change(state, change, now));
    }
    if state.ledger.next_deadline().is_some_and(|at| at <= now) {
        let wanted = state.ledger.expire(now);
        effects.extend(ledger::apply(state, wanted, now));
    }
    effects
}

pub(super) fn drop_refused(
    state: &mut GatewayState,
    refused: limits::CallRefusal,
) -> Vec<GatewayEffect> {
    state.calls.remove(&refused.call);
    let cause = match refused.reason {
        RefusalReason::UnknownWorkspace => RefusalCause::UnknownKey,
        RefusalReason::NoCapacity => RefusalCause::NoEndpoint,
        RefusalReason::QueueFull => RefusalCause::Overloaded,
        RefusalReason::Deadline => RefusalCause::Deadline,
    };
    let retry_at = Some(refused.retry_at);
    vec![refuse(refused.call, cause, RunState::NotRun, retry_at)]
}
