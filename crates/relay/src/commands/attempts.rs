//! Ends of attempts and retries.

use base::prelude::*;
use exchange::RunCertainty;
use exchange::commands::{record_not_run, record_start};
use exchange::queries::certainty;
use intent::CallKind;
use limits::commands::claim_retry;
use limits::queries::has_retry;
use limits::{CallIdempotency, IdempotentCall};

use super::targets::{record_attempt_end, record_attempt_start, release_attempts};
use crate::queries::{
    choose_target, cold_count, evacuated_count, limited_retry_delay, passed_over_count,
};
use crate::state::OpenAttempt;
use crate::{
    AdmissionRefusal, AttemptEnd, AttemptId, CallStep, Lane, Refusal, RefusalReason, RelayState,
    SendOrder,
};

/// Rank of a request in the fast lane.
const FAST_RANK: u8 = 4;
/// Rank of a request in the slow lane.
const SLOW_RANK: u8 = 8;
/// Rank of a retry, which has lost time at another target.
const RETRY_RANK: u8 = 2;

/// Records the end of an attempt and decides the next step.
///
/// While an attempt that was silent is still open, the request is not refused.
pub fn end_attempt(
    state: &mut RelayState,
    attempt: AttemptId,
    end: AttemptEnd,
    now: ClockTime,
) -> CallStep {
    let call = attempt.call;
    if let Some(id) = record_attempt_end(state, attempt) {
        record_failure(state, &id, end, now);
    }
    let Some(entry) = state.calls.get_mut(&call) else {
        return refuse(
            RefusalReason::DeadlinePassed,
            RunCertainty::MayHaveRun,
            None,
        );
    };
    if let Some(proof) = end.not_run() {
        record_not_run(&mut entry.runs, attempt.number, proof);
        entry.rejections += 1;
    }
    entry.misdirections += u32::from(matches!(end, AttemptEnd::Misdirected(_)));
    let latest = entry.open.last().map(|open| open.number);
    if latest.is_some_and(|latest| latest > attempt.number) {
        return CallStep::Wait;
    }
    let has_open = latest.is_some();
    match retry(state, call, now) {
        CallStep::Refuse(_) if has_open => CallStep::Wait,
        step => step,
    }
}

/// Sends a request once more if its attempts, the budget and the targets allow it; a refusal
/// claims nothing.
fn retry(state: &mut RelayState, call: CallId, now: ClockTime) -> CallStep {
    let Some(entry) = state.calls.get(&call) else {
        return refuse(
            RefusalReason::DeadlinePassed,
            RunCertainty::MayHaveRun,
            None,
        );
    };
    let may_retry = entry.has_attempts_left()
        && entry.rejections <= state.settings.max_rejections
        && entry.misdirections <= state.settings.max_misdirections;
    let run = certainty(&entry.runs);
    if !may_retry {
        return refuse(
            RefusalReason::Exhausted,
            run,
            Some(state.settings.retry_after),
        );
    }
    // Safe for once-only calls too: they get here only if no target can have run them.
    let Some(proof) = IdempotentCall::new(call, CallIdempotency::Idempotent) else {
        return refuse(RefusalReason::Exhausted, run, None);
    };
    let service = entry.arrival.service.clone();
    if !has_retry(&state.budget, &service, now) {
        return refuse(
            RefusalReason::NoBudget,
            run,
            Some(state.settings.retry_after),
        );
    }
    let step = dispatch(state, call, now);
    if matches!(step, CallStep::Send(_)) {
        claim_retry(&mut state.budget, &service, proof, now);
    }
    step
}

/// Sends a request of a silent target to another one and keeps the silent attempt open; `None`
/// if nothing allows it now.
pub(super) fn send_beside(
    state: &mut RelayState,
    attempt: AttemptId,
    now: ClockTime,
) -> Option<SendOrder> {
    let target = state.calls.get(&attempt.call)?.attempt(attempt.number)?;
    let target = target.target.clone();
    let CallStep::Send(order) = retry(state, attempt.call, now) else {
        return None;
    };
    record_failure(state, &target, AttemptEnd::Stalled, now);
    Some(order)
}

/// Records the end of an attempt of a request that must not be sent again. The request is
/// refused unless another of its attempts is open.
pub fn give_up(
    state: &mut RelayState,
    attempt: AttemptId,
    end: AttemptEnd,
    now: ClockTime,
) -> CallStep {
    if let Some(id) = record_attempt_end(state, attempt) {
        record_failure(state, &id, end, now);
    }
    let Some(entry) = state.calls.get_mut(&attempt.call) else {
        return refuse(RefusalReason::Exhausted, RunCertainty::MayHaveRun, None);
    };
    entry.is_crash_suspect = true;
    if let Some(proof) = end.not_run() {
        record_not_run(&mut entry.runs, attempt.number, proof);
    }
    if !entry.open.is_empty() {
        return CallStep::Wait;
    }
    refuse(
        RefusalReason::Exhausted,
        certainty(&entry.runs),
        Some(state.settings.retry_after),
    )
}

/// Records the end of an attempt of a quarantined request, ends its other attempts and refuses it.
pub fn abort_call(
    state: &mut RelayState,
    attempt: AttemptId,
    end: AttemptEnd,
    now: ClockTime,
) -> CallStep {
    if let Some(id) = record_attempt_end(state, attempt) {
        record_failure(state, &id, end, now);
    }
    release_attempts(state, attempt.call, |_| true);
    give_up(state, attempt, end, now)
}

/// Avoids a failed target for a while, longer with each consecutive failure.
fn record_failure(state: &mut RelayState, id: &HostName, end: AttemptEnd, now: ClockTime) {
    let settings = &state.settings;
    let Some(load) = state.loads.get_mut(id) else {
        return;
    };
    let duration = match end {
        AttemptEnd::Withheld(_) | AttemptEnd::Quarantined(_) => return,
        AttemptEnd::NotRun(_) => settings.full_avoid_duration,
        _ => {
            let duration = settings.min_avoid_duration * 2_u32.pow(load.failures.min(4));
            load.failures += 1;
            duration.min(settings.max_avoid_duration)
        }
    };
    load.avoid_until = load.avoid_until.max(now + duration);
}

/// Sends a request to the best target or refuses it.
pub(super) fn dispatch(state: &mut RelayState, call: CallId, now: ClockTime) -> CallStep {
    if let Some(entry) = state.calls.get(&call) {
        state.evacuation_skips += evacuated_count(state, entry);
    }
    let step = send_to_best(state, call, now);
    // Last, so that a command that has looked at the choice before gets the same one.
    state.rotation = state.rotation.wrapping_add(1);
    step
}

fn send_to_best(state: &mut RelayState, call: CallId, now: ClockTime) -> CallStep {
    let Some(entry) = state.calls.get(&call) else {
        return refuse(
            RefusalReason::DeadlinePassed,
            RunCertainty::MayHaveRun,
            None,
        );
    };
    let run = certainty(&entry.runs);
    if entry.arrival.deadline <= now + state.settings.min_attempt_time {
        return refuse(RefusalReason::DeadlinePassed, run, None);
    }
    let is_retry = entry.is_retry();
    let cold_skips = cold_count(state, entry, now);
    notices::commands::record_cold_skips(&mut state.notices, cold_skips);
    let (target, lane) = match choose_target(state, entry, now) {
        Ok((target, lane)) => (target.clone(), lane),
        Err(refusal) if refusal.reason == RefusalReason::Limited => {
            let delay = limited_retry_delay(state, entry, now);
            return refuse(RefusalReason::Limited, run, Some(delay));
        }
        Err(refusal) => {
            let delay = refusal.retry_delay.unwrap_or(state.settings.retry_after);
            // A request that is refused as late shows no want of slots, or a wrong guess that
            // clients are late would confirm itself.
            let is_late = refusal.reason == RefusalReason::NoHeadroom;
            if refusal.admission.is_some() && !is_late {
                state.refused_at = Some(now);
            }
            let step = refuse(refusal.reason, run, Some(delay));
            return with_admission(step, refusal.admission);
        }
    };
    let check_delay = match entry.arrival.route.kind {
        CallKind::Stream { .. } => state.settings.first_event_suspect_timeout,
        _ => entry
            .arrival
            .route
            .objective
            .mul_f64(state.settings.plain_stall_fraction),
    };
    let deadline = entry.arrival.deadline;
    let passed_over = passed_over_count(state, entry, now);
    let has_notice = notices::queries::has_notice(&state.notices, &target.id);
    let load = state
        .loads
        .get(&target.id)
        .map_or(0, |load| load.total(now).sum());
    notices::commands::take_turn(&mut state.notices, &target.id, now);
    record_attempt_start(state, &target.id, lane);
    let Some(entry) = state.calls.get_mut(&call) else {
        return refuse(
            RefusalReason::DeadlinePassed,
            RunCertainty::MayHaveRun,
            None,
        );
    };
    entry.last_number += 1;
    record_start(&mut entry.runs, entry.last_number);
    entry.tried.push(target.id.clone());
    entry.open.push(OpenAttempt {
        number: entry.last_number,
        target: target.id.clone(),
        lane,
        epoch: target.epoch,
        incarnation: target.incarnation,
        sent_at: now,
        load,
        has_begun: false,
    });
    let number = entry.last_number;
    CallStep::Send(SendOrder {
        attempt: AttemptId { call, number },
        target: target.id,
        incarnation: target.incarnation,
        epoch: target.epoch,
        address: target.address,
        via: None,
        deadline,
        check_at: now + check_delay,
        rank: match lane {
            _ if is_retry => RETRY_RANK,
            Lane::Fast => FAST_RANK,
            Lane::Slow => SLOW_RANK,
        },
        load,
        is_repeat: run == RunCertainty::MayHaveRun,
        passed_over,
        has_notice,
    })
}

fn refuse(reason: RefusalReason, run: RunCertainty, retry_after: Option<Duration>) -> CallStep {
    CallStep::Refuse(Refusal {
        reason,
        run,
        retry_after: retry_after.filter(|_| run != RunCertainty::MayHaveRun),
        admission: None,
    })
}

fn with_admission(step: CallStep, admission: Option<AdmissionRefusal>) -> CallStep {
    match step {
        CallStep::Refuse(refusal) => CallStep::Refuse(Refusal {
            admission,
            ..refusal
        }),
        step => step,
    }
}
