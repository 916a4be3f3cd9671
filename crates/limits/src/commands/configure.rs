//! Changes of workspace limits and of capacity.

use std::collections::BTreeMap;

use base::prelude::*;

use super::expire::expire;
use super::refuse::refuse_queued;
use crate::queries::split_slots;
use crate::state::{CallPhase, ServiceQueue};
use crate::{
    AdmissionRefusalReason, AdmissionState, CallRefusal, QueueChange, SlotUsage, WorkspaceLimits,
};

/// Replaces the workspaces and their limits; waiting calls of removed workspaces are refused.
pub fn set_workspaces(
    state: &mut AdmissionState,
    workspaces: BTreeMap<WorkspaceName, WorkspaceLimits>,
    now: ClockTime,
) -> QueueChange {
    state.workspaces = workspaces;
    let refused = refuse_unknown_workspaces(state, now);
    let mut change = expire(state, now);
    change.refused.extend(refused);
    change
}

/// Sets the number of a service's slots that this node may use.
pub fn set_capacity(
    state: &mut AdmissionState,
    service: &ServiceName,
    slots: usize,
    now: ClockTime,
) -> QueueChange {
    let mean_call_secs = state.settings.initial_call_duration.as_secs_f64();
    let queue = state.services.entry(service.clone());
    queue
        .or_insert_with(|| ServiceQueue::new(mean_call_secs))
        .slots = slots;
    expire(state, now)
}

/// Sets this node's part of a service's slots from the load that targets report.
///
/// If the service has slots, the part is at least one, so that no node refuses all
/// calls. A fractional part is rounded up on a share of the nodes that equals the
/// fraction, by a random offset that each node draws once.
pub fn set_capacity_share(
    state: &mut AdmissionState,
    service: &ServiceName,
    usage: SlotUsage,
    now: ClockTime,
) -> QueueChange {
    let slots = if usage.slots == 0 {
        0
    } else {
        let part = split_slots(&state.settings, usage) + state.rounding;
        (part.floor() as usize).max(1)
    };
    set_capacity(state, service, slots, now)
}

fn refuse_unknown_workspaces(state: &mut AdmissionState, now: ClockTime) -> Vec<CallRefusal> {
    let unknown = state.calls.values().filter(|call| {
        call.phase == CallPhase::Queued && !state.workspaces.contains_key(&call.request.workspace)
    });
    let mut calls: Vec<CallId> = unknown.map(|call| call.request.call).collect();
    calls.sort_unstable();
    let reason = AdmissionRefusalReason::UnknownWorkspace;
    let refused = calls
        .into_iter()
        .filter_map(|call| refuse_queued(state, call, reason, now));
    refused.collect()
}
