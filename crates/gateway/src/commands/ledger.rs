//! What the ledger wants and says.

use base::prelude::*;
use ledger::{CallVerdict, LedgerEffect, NotRunReason};

use super::attempts::measure;
use super::calls::{dispatch, end, refuse};
use crate::state::GatewayState;
use crate::{CallStep, GatewayEffect, RefusalCause, RunState};

/// Carries out what the ledger wants.
pub fn apply(
    state: &mut GatewayState,
    wanted: Vec<LedgerEffect>,
    now: ClockTime,
) -> Vec<GatewayEffect> {
    let mut effects = Vec::new();
    for effect in wanted {
        match effect {
            LedgerEffect::Verdict { call, verdict } => {
                effects.extend(apply_verdict(state, call, verdict, now));
            }
            call => effects.push(GatewayEffect::Ledger(call)),
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
    let told = match verdict {
        CallVerdict::Send => return dispatch(state, call, now),
        CallVerdict::Response(answer) => {
            let step = CallStep::Answer(answer);
            GatewayEffect::Step { call, step }
        }
        CallVerdict::NotRun(reason) => refuse(call, not_run_cause(reason), RunState::NotRun, None),
        CallVerdict::StillRunning => {
            refuse(call, RefusalCause::StillRunning, RunState::Running, None)
        }
        CallVerdict::OutcomeUnknown => {
            refuse(call, RefusalCause::EndpointLost, RunState::Unknown, None)
        }
    };
    let answered = matches!(
        &told,
        GatewayEffect::Step {
            step: CallStep::Answer(_),
            ..
        }
    );
    let mut effects = vec![told];
    let known = state.calls.get(&call).filter(|_| answered);
    effects.extend(known.map(|known| measure(known, "whole", now)));
    effects.extend(end(state, call, now));
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
