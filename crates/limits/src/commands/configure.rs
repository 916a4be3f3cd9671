//! Shares and capacity that are in force.

use std::collections::BTreeMap;

use base::prelude::*;

use super::expire::expire;
use super::refuse::drop_queued;
use crate::queries::split_slots;
use crate::state::{CallPhase, ServiceQueue};
use crate::{AdmissionState, CallRefusal, QueueChange, RefusalReason, SlotUsage, WorkspaceLimits};

/// Puts the workspaces in force; calls waiting for one that is gone are refused.
pub fn set_workspaces(
    state: &mut AdmissionState,
    shares: BTreeMap<WorkspaceName, WorkspaceLimits>,
    now: ClockTime,
) -> QueueChange {
    state.workspaces = shares;
    let refused = drop_unknown(state, now);
    let mut change = expire(state, now);
    change.refused.extend(refused);
    change
}

/// Sets the slots that this node may use of a service.
pub fn set_capacity(
    state: &mut AdmissionState,
    service: &ServiceName,
    slots: usize,
    now: ClockTime,
) -> QueueChange {
    let hold_secs = state.settings.initial_hold.as_secs_f64();
    let queue = state.services.entry(service.clone());
    queue.or_insert_with(|| ServiceQueue::new(hold_secs)).slots = slots;
    expire(state, now)
}

/// Sets this node's part of a service's slots from what targets report.
///
/// A part is at least one slot, so that no node refuses all calls. Its fraction
/// is rounded up on as many nodes as the fraction says.
pub fn set_capacity_share(
    state: &mut AdmissionState,
    service: &ServiceName,
    view: SlotUsage,
    now: ClockTime,
) -> QueueChange {
    let slots = if view.slots == 0 {
        0
    } else {
        let part = split_slots(&state.settings, view) + state.rounding;
        (part.floor() as usize).max(1)
    };
    set_capacity(state, service, slots, now)
}

fn drop_unknown(state: &mut AdmissionState, now: ClockTime) -> Vec<CallRefusal> {
    let unknown = state.calls.values().filter(|record| {
        record.phase == CallPhase::Queued
            && !state.workspaces.contains_key(&record.request.workspace)
    });
    let mut calls: Vec<CallId> = unknown.map(|record| record.request.call).collect();
    calls.sort_unstable();
    let reason = RefusalReason::UnknownWorkspace;
    let refused = calls
        .into_iter()
        .filter_map(|call| drop_queued(state, call, reason, now));
    refused.collect()
}
