//! Results of admission control for queued calls.

use base::prelude::*;
use limits::{AdmissionRefusalReason, QueueChange};

use super::calls::{refuse, start};
use super::ledger;
use crate::state::GatewayState;
use crate::{GatewayEffect, RefusalCause, RunState};

/// Starts the calls that a change of the queues admitted and refuses those that
/// it dropped.
pub fn apply_change(
    state: &mut GatewayState,
    change: QueueChange,
    now: ClockTime,
) -> Vec<GatewayEffect> {
    let mut effects = Vec::new();
    for refusal in change.refused {
        effects.extend(refuse_queued(state, refusal));
    }
    for call in change.admitted {
        effects.extend(start(state, call, now));
    }
    effects
}

/// Refuses queued calls and ends ledger waits whose deadline has passed.
pub fn expire(state: &mut GatewayState, now: ClockTime) -> Vec<GatewayEffect> {
    let mut effects = Vec::new();
    if limits::queries::next_deadline(&state.admission).is_some_and(|at| at <= now) {
        let change = limits::commands::expire(&mut state.admission, now);
        effects.extend(apply_change(state, change, now));
    }
    if state.ledger.next_deadline().is_some_and(|at| at <= now) {
        let ledger_effects = state.ledger.expire(now);
        effects.extend(ledger::apply(state, ledger_effects, now));
    }
    effects
}

pub(super) fn refuse_queued(
    state: &mut GatewayState,
    refused: limits::CallRefusal,
) -> Vec<GatewayEffect> {
    let call_state = state.calls.remove(&refused.call);
    let run = call_state.map_or(RunState::Unknown, |call_state| call_state.run_state());
    let cause = match refused.reason {
        AdmissionRefusalReason::UnknownWorkspace => RefusalCause::UnknownKey,
        AdmissionRefusalReason::NoCapacity => RefusalCause::NoEndpoint,
        AdmissionRefusalReason::QueueFull => RefusalCause::Overloaded,
        AdmissionRefusalReason::Deadline => RefusalCause::Deadline,
    };
    let retry_at = Some(refused.retry_at);
    vec![refuse(refused.call, cause, run, retry_at)]
}
