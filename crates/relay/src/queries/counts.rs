//! Numbers of requests by target, of this node and of all nodes.

use std::net::SocketAddr;

use base::prelude::*;
use exchange::queries::unproven_count;

use super::limited::{is_in_evacuated_domain, is_open};
use crate::state::CallState;
use crate::{AttemptId, LaneCounts, ModelRates, RelayState, SentAttempt, TargetLoad};

/// Target of an open attempt.
pub fn target_of(state: &RelayState, attempt: AttemptId) -> Option<&HostName> {
    let open = state.calls.get(&attempt.call)?.attempt(attempt.number)?;
    Some(&open.target)
}

/// Open attempt.
pub fn attempt_of(state: &RelayState, attempt: AttemptId) -> Option<SentAttempt> {
    let open = state.calls.get(&attempt.call)?.attempt(attempt.number)?;
    Some(SentAttempt {
        target: open.target.clone(),
        incarnation: open.incarnation,
        epoch: open.epoch,
        sent_at: open.sent_at,
    })
}

/// Latest open attempt of a request.
pub fn latest_attempt(state: &RelayState, call: CallId) -> Option<AttemptId> {
    let number = state.calls.get(&call)?.open.last()?.number;
    Some(AttemptId { call, number })
}

/// Address of a target that takes requests now, if it is still the same start of it.
pub fn open_address(
    state: &RelayState,
    target: &HostName,
    incarnation: HostIncarnation,
    now: ClockTime,
) -> Option<SocketAddr> {
    let target = state.targets.get(target)?;
    let is_usable = target.incarnation == incarnation
        && !is_in_evacuated_domain(state, target)
        && is_open(state, target, now);
    is_usable.then_some(target.address)
}

/// Whether a target gets no requests because its failure domain is evacuated.
pub fn is_evacuated(state: &RelayState, target: &HostName) -> bool {
    let target = state.targets.get(target);
    target.is_some_and(|target| is_in_evacuated_domain(state, target))
}

/// Whether a request may be sent to another target after one that may have run it.
pub fn is_repeatable(state: &RelayState, call: CallId) -> bool {
    let entry = state.calls.get(&call);
    entry.is_some_and(CallState::is_repeatable)
}

/// Whether an attempt that was decided on, and not sent yet, may still be sent: no version of the
/// configuration since then lets the request run once only, or no other attempt can have run.
pub fn may_send(state: &RelayState, attempt: AttemptId) -> bool {
    let entry = state.calls.get(&attempt.call);
    entry.is_some_and(|entry| entry.is_repeatable() || unproven_count(&entry.runs) <= 1)
}

/// Requests of all nodes by target, from the latest counts.
pub fn total_counts(state: &RelayState, now: ClockTime) -> Vec<(HostName, LaneCounts)> {
    nonzero_counts(state, |load| load.total(now))
}

/// Requests of this node by target, plus those of failed nodes that a target reported here.
pub fn local_counts(state: &RelayState, now: ClockTime) -> Vec<(HostName, LaneCounts)> {
    nonzero_counts(state, |load| load.local.plus(load.unattributed(now)))
}

/// Requests of all nodes at the groups of a model, from the latest counts.
pub fn model_load(
    state: &RelayState,
    service: &ServiceName,
    model: &ModelName,
    now: ClockTime,
) -> u32 {
    let targets = state
        .targets
        .values()
        .filter(|target| target.service == *service && target.model.as_ref() == Some(model));
    let loads = targets.filter_map(|target| state.loads.get(&target.id));
    loads.map(|load| load.total(now).sum()).sum()
}

/// Rates of a service's requests for a model at this node.
pub fn model_rates(
    state: &RelayState,
    service: &ServiceName,
    model: &ModelName,
    now: ClockTime,
) -> ModelRates {
    let pool = (service.clone(), Some(model.clone()));
    state.demand.rates(&pool, now)
}

/// Targets with a count other than zero.
fn nonzero_counts(
    state: &RelayState,
    count: impl Fn(&TargetLoad) -> LaneCounts,
) -> Vec<(HostName, LaneCounts)> {
    let counts = state.loads.iter().map(|(id, load)| (id, count(load)));
    let nonzero = counts.filter(|(_, counts)| *counts != LaneCounts::default());
    nonzero.map(|(id, counts)| (id.clone(), counts)).collect()
}
