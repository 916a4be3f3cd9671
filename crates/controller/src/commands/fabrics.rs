//! Feeds the decisions on fabric domains and passes their effects on.

use std::collections::BTreeMap;

use base::prelude::*;
use document::queries::is_resolved;
use groups::{DesiredGroups, HostEntry, HostReport, HostStatus};
use interface::FabricRead;
use store::UpdateOutcome;

use crate::{ControllerEffect, ControllerState, queries};

/// Takes in one fabric domain as read on its own.
pub fn observe_read(
    state: &mut ControllerState,
    fabric: &FabricName,
    read: Option<FabricRead>,
    now: ClockTime,
) {
    if let Some(read) = read {
        state.fabric_of(fabric).observe_record(read, now);
    }
}

/// Takes in the end of a write.
pub fn complete_write(
    state: &mut ControllerState,
    fabric: &FabricName,
    nonce: WriteNonce,
    outcome: UpdateOutcome,
    now: ClockTime,
) -> Vec<ControllerEffect> {
    let effects = state.fabric_of(fabric).complete_write(nonce, outcome, now);
    effects.into_iter().map(ControllerEffect::Fabric).collect()
}

/// Takes in a host's report.
pub fn observe_report(
    state: &mut ControllerState,
    report: HostReport,
    polled_at: ClockTime,
    now: ClockTime,
) {
    let entry = state.watch.hosts.get(&report.host);
    if let Some(fabric) = entry.and_then(|entry| entry.fabric.clone()) {
        let known = state.fabric_of(&fabric);
        known.observe_report(report, polled_at, now);
    }
}

/// Hands each fabric domain its hosts.
pub fn set_hosts(state: &mut ControllerState) {
    let mut entries: BTreeMap<FabricName, Vec<HostEntry>> = BTreeMap::new();
    for fabric in state.fabrics.keys() {
        entries.insert(fabric.clone(), Vec::new());
    }
    for entry in state.watch.hosts.values() {
        let Some(fabric) = entry.fabric.clone() else {
            continue;
        };
        let standing = if state.watch.is_leaving(&entry.host) {
            HostStatus::Leaving
        } else {
            HostStatus::Live
        };
        entries.entry(fabric).or_default().push(HostEntry {
            host: entry.host.clone(),
            address: entry.address,
            status: standing,
        });
    }
    for (fabric, entries) in entries {
        state.fabric_of(&fabric).observe_hosts(entries);
    }
}

/// Hands each fabric domain the groups that it shall form.
pub fn set_targets(state: &mut ControllerState) {
    let spread = queries::spread(state);
    let deployments = state
        .watch
        .config
        .in_force
        .configuration
        .deployments
        .clone();
    for (fabric, counts) in spread {
        let targets = counts.into_iter().filter_map(|(deployment, groups)| {
            let spec = deployments.get(&deployment)?.clone();
            Some(DesiredGroups {
                deployment,
                spec,
                groups,
            })
        });
        let targets: Vec<DesiredGroups> = targets.collect();
        state.fabric_of(&fabric).set_deployments(targets);
    }
}

/// Lets every fabric domain act on what is known and due.
///
/// Nothing is decided before the configuration is settled, so that no group is
/// dissolved for want of the document or of a section's last good version.
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
