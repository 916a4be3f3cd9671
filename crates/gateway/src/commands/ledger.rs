//! Effects and verdicts of the ledger.

use base::prelude::*;
use ledger::{CallVerdict, LedgerEffect, NotRunReason};

use super::attempts::measure;
use super::calls::{dispatch, refuse, remove_call};
use crate::call::CallState;
use crate::state::GatewayState;
use crate::{CallStep, GatewayEffect, RefusalCause, RunState};

/// Applies the ledger's verdicts and passes its store operations on.
pub fn apply(
    state: &mut GatewayState,
    ledger_effects: Vec<LedgerEffect>,
    now: ClockTime,
) -> Vec<GatewayEffect> {
    let mut effects = Vec::new();
    for effect in ledger_effects {
        match effect {
            LedgerEffect::Verdict { call, verdict } => {
                effects.extend(apply_verdict(state, call, verdict, now));
            }
            operation => effects.push(GatewayEffect::Ledger(operation)),
        }
    }
    effects
}

fn apply_verdict(
    state: &mut GatewayState,
    call: CallId,
    verdict: CallVerdict,
    now: ClockTime,
) -> Vec<GatewayEffect> {
    let response = match verdict {
        CallVerdict::Send => return dispatch(state, call, now),
        CallVerdict::Response(recorded) => {
            let step = CallStep::Respond(recorded);
            GatewayEffect::Step { call, step }
        }
        CallVerdict::NotRun(reason) => {
            let call_state = state.calls.get(&call);
            let run = call_state.map_or(RunState::Unknown, CallState::run_state);
            refuse(call, not_run_cause(reason), run, None)
        }
        CallVerdict::StillRunning => {
            refuse(call, RefusalCause::StillRunning, RunState::Running, None)
        }
        CallVerdict::OutcomeUnknown => {
            refuse(call, RefusalCause::EndpointLost, RunState::Unknown, None)
        }
    };
    let has_response = matches!(
        &response,
        GatewayEffect::Step {
            step: CallStep::Respond(_),
            ..
        }
    );
    let mut effects = vec![response];
    let call_state = state.calls.get(&call).filter(|_| has_response);
    effects.extend(call_state.map(|call_state| measure(call_state, "whole", now)));
    effects.extend(remove_call(state, call, now));
    effects
}

fn not_run_cause(reason: NotRunReason) -> RefusalCause {
    match reason {
        NotRunReason::StoreUnavailable | NotRunReason::ShardFull => RefusalCause::StoreDown,
        NotRunReason::KeyReused => RefusalCause::KeyReused,
        NotRunReason::DeadlinePassed => RefusalCause::Deadline,
        NotRunReason::Withdrawn => RefusalCause::NoEndpoint,
    }
}
