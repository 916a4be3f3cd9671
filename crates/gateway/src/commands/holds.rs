//! Calls whose endpoints are silent but may go on.
//!
//! A silent attempt, and one of a group with a member that doesn't report, stays open
//! beside the next one until one of them goes on. The next target is chosen and its
//! retry claimed for each call alone, so no call gives up its endpoint for a target that
//! another call takes. Nothing of a group's response is forwarded while a member is
//! missing.

use base::prelude::*;

use super::attempts::{claim_attempt, release_attempt};
use super::calls::{choose_target, refuse, remove_call, send_beside};
use crate::call::{CallHold, OpenAttempt};
use crate::queries::{GroupCondition, group_conditions};
use crate::state::GatewayState;
use crate::{AttemptNumber, CallStep, GatewayEffect, RefusalCause, RunState};

/// Time between two tries to send a held call to another target.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Longest time for which a call waits for endpoints none of which goes on.
const MAX_HOLD: Duration = Duration::from_secs(5);

/// Records that an attempt's stream has had no event for the silence limit.
pub fn record_silence(
    state: &mut GatewayState,
    call: CallId,
    attempt: AttemptNumber,
    now: ClockTime,
) -> Vec<GatewayEffect> {
    let call_state = state.calls.get_mut(&call);
    if let Some(open) = call_state.and_then(|call_state| call_state.attempt_mut(attempt)) {
        open.is_silent = true;
        update_hold(state, call, now);
    }
    Vec::new()
}

/// Records that an attempt was the first to go on, and gives up the others.
pub fn record_progress(
    state: &mut GatewayState,
    call: CallId,
    attempt: AttemptNumber,
    now: ClockTime,
) -> Vec<GatewayEffect> {
    let Some(call_state) = state.calls.get_mut(&call) else {
        return Vec::new();
    };
    let Some(open) = call_state.attempt_mut(attempt) else {
        return Vec::new();
    };
    open.is_silent = false;
    let others = call_state.open_attempts().iter();
    let others = others.filter(|other| other.number != attempt);
    let others: Vec<AttemptNumber> = others.map(|other| other.number).collect();
    let effects = others.into_iter().map(|other| {
        release_attempt(state, call, other, other < attempt);
        let step = CallStep::Abort(other);
        GatewayEffect::Step { call, step }
    });
    let effects = effects.collect();
    update_hold(state, call, now);
    effects
}

/// Suspends the attempts whose group has a silent member, resumes those whose group is
/// complete again at the same generation, and aborts those whose group is broken.
pub fn apply_group_conditions(state: &mut GatewayState, now: ClockTime) -> Vec<GatewayEffect> {
    let conditions = group_conditions(state, now);
    let mut effects = Vec::new();
    let mut changed = Vec::new();
    for (&call, call_state) in &mut state.calls {
        for attempt in call_state.open_attempts_mut() {
            let Some(generation) = &attempt.generation else {
                continue;
            };
            let step = match (conditions.get(generation), attempt.is_suspended) {
                (None, _) => CallStep::Abort(attempt.number),
                (Some(GroupCondition::Silent), false) => suspend(attempt),
                (Some(GroupCondition::Complete), true) => resume(attempt),
                (Some(_), _) => continue,
            };
            changed.push(call);
            effects.push(GatewayEffect::Step { call, step });
        }
    }
    for call in changed {
        update_hold(state, call, now);
    }
    effects
}

fn suspend(attempt: &mut OpenAttempt) -> CallStep {
    attempt.is_suspended = true;
    CallStep::Suspend(attempt.number)
}

fn resume(attempt: &mut OpenAttempt) -> CallStep {
    attempt.is_suspended = false;
    CallStep::Resume(attempt.number)
}

/// Sends held calls to another target, and refuses those whose deadline has passed.
pub fn advance(state: &mut GatewayState, now: ClockTime) -> Vec<GatewayEffect> {
    let held = state.held.iter();
    let due = held.filter(|(_, hold)| hold.retry_at <= now || hold.lost_at <= now);
    let due: Vec<(CallId, CallHold)> = due.map(|(&call, &hold)| (call, hold)).collect();
    let effects = due.into_iter().flat_map(|(call, hold)| {
        if hold.lost_at <= now {
            return end_held_call(state, call, now);
        }
        let effects = move_call(state, call, now);
        if let Some(hold) = state.held.get_mut(&call) {
            hold.retry_at = now + RETRY_INTERVAL;
        }
        effects
    });
    effects.collect()
}

/// Sends a held call to another target beside its open attempts, if there is a target
/// and a retry for it.
fn move_call(state: &mut GatewayState, call: CallId, now: ClockTime) -> Vec<GatewayEffect> {
    let target = state
        .calls
        .get(&call)
        .and_then(|call_state| choose_target(state, call_state, now));
    let Some(target) = target else {
        return Vec::new();
    };
    if !claim_attempt(state, call, now) {
        return Vec::new();
    }
    let effects = send_beside(state, call, target, now);
    update_hold(state, call, now);
    effects
}

fn end_held_call(state: &mut GatewayState, call: CallId, now: ClockTime) -> Vec<GatewayEffect> {
    let run = RunState::Unknown;
    let mut effects = vec![refuse(call, RefusalCause::EndpointLost, run, None)];
    effects.extend(remove_call(state, call, now));
    effects
}

/// Holds a call that has none but silent and suspended attempts, and no other.
pub(super) fn update_hold(state: &mut GatewayState, call: CallId, now: ClockTime) {
    let call_state = state.calls.get(&call);
    match call_state.filter(|call_state| call_state.is_held()) {
        Some(call_state) => {
            let hold = CallHold {
                lost_at: call_state.wait_deadline(now).min(now + MAX_HOLD),
                retry_at: now,
            };
            state.held.entry(call).or_insert(hold);
        }
        None => {
            state.held.remove(&call);
        }
    }
}
