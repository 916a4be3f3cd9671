//! Attempts that ended, and the next one.

use base::prelude::*;
use intent::CallKind;
use limits::commands::claim_retry;
use limits::{CallIdempotency, IdempotentCall, RetryOutcome};

use super::targets::{occupy, vacate};
use crate::queries::choose_target;
use crate::{AttemptEnd, CallStep, Lane, Refusal, RefusalReason, RelayState, SendOrder};

/// Rank of a request that can be answered in time.
const FAST_RANK: u8 = 4;
/// Rank of a request that waits for room.
const SLOW_RANK: u8 = 8;
/// Rank of a request that has lost time at another server.
const AGAIN_RANK: u8 = 2;

/// Takes in how an attempt ended and decides what follows.
pub fn end_attempt(
    state: &mut RelayState,
    call: CallId,
    end: AttemptEnd,
    now: ClockTime,
) -> CallStep {
    if let Some(id) = vacate(state, call) {
        note_failure(state, &id, end, now);
    }
    let Some(known) = state.calls.get_mut(&call) else {
        return refuse(RefusalReason::DeadlinePassed, true, None);
    };
    if end.is_not_run() {
        known.rejections += 1;
    } else {
        known.runs += 1;
    }
    let arrival = &known.arrival;
    let may_go_on = if known.runs == 0 {
        known.rejections <= state.settings.rejection_limit
    } else {
        arrival.route.kind.is_repeatable()
            && known.runs < arrival.route.attempts
            && known.rejections <= state.settings.rejection_limit
    };
    let has_run = known.runs > 0;
    if !may_go_on {
        return refuse(
            RefusalReason::Exhausted,
            has_run,
            Some(state.settings.retry_after),
        );
    }
    // An attempt that no server has run does not make a call run twice.
    let Some(proof) = IdempotentCall::new(call, CallIdempotency::Idempotent) else {
        return refuse(RefusalReason::Exhausted, has_run, None);
    };
    let service = arrival.service.clone();
    match claim_retry(&mut state.budget, &service, proof, now) {
        RetryOutcome::Granted(_) => send_on(state, call, now),
        RetryOutcome::Exhausted => refuse(
            RefusalReason::Exhausted,
            has_run,
            Some(state.settings.retry_after),
        ),
    }
}

/// Avoids a target that failed for a while.
fn note_failure(state: &mut RelayState, id: &HostName, end: AttemptEnd, now: ClockTime) {
    let settings = &state.settings;
    let Some(load) = state.loads.get_mut(id) else {
        return;
    };
    let span = match end {
        AttemptEnd::NotRun => settings.full_span,
        _ => {
            let span = settings.avoid_span * 2_u32.pow(load.failures.min(4));
            load.failures += 1;
            span.min(settings.avoid_limit)
        }
    };
    load.avoid_until = load.avoid_until.max(now + span);
}

/// Sends a request to the best target, or refuses it.
pub(super) fn send_on(state: &mut RelayState, call: CallId, now: ClockTime) -> CallStep {
    state.turn = state.turn.wrapping_add(1);
    let Some(known) = state.calls.get(&call) else {
        return refuse(RefusalReason::DeadlinePassed, true, None);
    };
    let has_run = known.runs > 0;
    if known.arrival.deadline <= now + state.settings.least_time {
        return refuse(RefusalReason::DeadlinePassed, has_run, None);
    }
    let is_again = known.runs + known.rejections > 0;
    let (target, lane) = match choose_target(state, known, now) {
        Ok((target, lane)) => (target.clone(), lane),
        Err(reason) => return refuse(reason, has_run, Some(state.settings.retry_after)),
    };
    let silence = match known.arrival.route.kind {
        CallKind::Stream { .. } => state.settings.suspect_wait,
        _ => known
            .arrival
            .route
            .objective
            .mul_f64(state.settings.plain_silence_part),
    };
    let deadline = known.arrival.deadline;
    let load = state
        .loads
        .get(&target.id)
        .map_or(0, |load| load.total(now).sum());
    occupy(state, &target.id, lane);
    if let Some(known) = state.calls.get_mut(&call) {
        known.target = Some(target.id.clone());
        known.lane = lane;
        known.epoch = target.epoch;
        known.sent_at = now;
        known.has_begun = false;
        known.tried.push(target.id.clone());
    }
    CallStep::Send(SendOrder {
        target: target.id,
        address: target.address,
        deadline,
        check_at: now + silence,
        rank: match lane {
            _ if is_again => AGAIN_RANK,
            Lane::Fast => FAST_RANK,
            Lane::Slow => SLOW_RANK,
        },
        load,
    })
}

fn refuse(reason: RefusalReason, may_have_run: bool, retry_after: Option<Duration>) -> CallStep {
    CallStep::Refuse(Refusal {
        reason,
        may_have_run,
        retry_after: retry_after.filter(|_| !may_have_run),
    })
}
