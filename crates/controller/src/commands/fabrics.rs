//! Passes data to the decision states of fabric domains and returns their effects.

use std::collections::BTreeMap;

use base::prelude::*;
use document::queries::is_resolved;
use groups::{DesiredGroups, HostEntry, HostReport, HostStatus};
use interface::FabricRead;
use store::UpdateOutcome;

use crate::{ControllerEffect, ControllerState, queries};

/// Handles the result of a read of a single fabric domain.
pub fn complete_read(
    state: &mut ControllerState,
    fabric: &FabricName,
    read: Option<FabricRead>,
    now: ClockTime,
) {
    if let Some(read) = read {
        state.fabric_mut(fabric).observe_record(read, now);
    }
}

/// Handles the outcome of a write.
pub fn complete_write(
    state: &mut ControllerState,
    fabric: &FabricName,
    nonce: WriteNonce,
    outcome: UpdateOutcome,
    now: ClockTime,
) -> Vec<ControllerEffect> {
    let effects = state.fabric_mut(fabric).complete_write(nonce, outcome, now);
    effects.into_iter().map(ControllerEffect::Fabric).collect()
}

/// Passes a host's report to its fabric domain.
pub fn record_report(
    state: &mut ControllerState,
    report: HostReport,
    polled_at: ClockTime,
    now: ClockTime,
) {
    let entry = state.watch.hosts.get(&report.host);
    if let Some(fabric) = entry.and_then(|entry| entry.fabric.clone()) {
        let fabric_state = state.fabric_mut(&fabric);
        fabric_state.observe_report(report, polled_at, now);
    }
}

/// Passes the listed hosts to their fabric domains.
pub fn set_hosts(state: &mut ControllerState) {
    let mut entries: BTreeMap<FabricName, Vec<HostEntry>> = BTreeMap::new();
    for fabric in state.fabrics.keys() {
        entries.insert(fabric.clone(), Vec::new());
    }
    for entry in state.watch.hosts.values() {
        let Some(fabric) = entry.fabric.clone() else {
            continue;
        };
        let status = if state.watch.is_leaving(&entry.host) {
            HostStatus::Leaving
        } else {
            HostStatus::Live
        };
        entries.entry(fabric).or_default().push(HostEntry {
            host: entry.host.clone(),
            address: entry.address,
            status,
        });
    }
    for (fabric, entries) in entries {
        state.fabric_mut(&fabric).observe_hosts(entries);
    }
}

/// Passes each fabric domain the groups that it is to form.
pub fn set_desired_groups(state: &mut ControllerState) {
    let spread = queries::group_spread(state);
    let deployments = state
        .watch
        .config
        .in_force
        .configuration
        .deployments
        .clone();
    for (fabric, counts) in spread {
        let desired = counts.into_iter().filter_map(|(deployment, groups)| {
            let spec = deployments.get(&deployment)?.clone();
            Some(DesiredGroups {
                deployment,
                spec,
                groups,
            })
        });
        let desired: Vec<DesiredGroups> = desired.collect();
        state.fabric_mut(&fabric).set_desired_groups(desired);
    }
}

/// Processes the deadlines of every fabric domain.
///
/// Nothing is decided before the configuration is resolved, so that no group is
/// dissolved because the document or the last good version of a section was not
/// read yet.
pub fn tick(state: &mut ControllerState, now: ClockTime) -> Vec<ControllerEffect> {
    if !is_resolved(&state.watch.config) {
        return Vec::new();
    }
    let effects = state
        .fabrics
        .values_mut()
        .flat_map(|fabric| fabric.tick(now));
    effects.map(ControllerEffect::Fabric).collect()
}
