//! Number of groups that each fabric domain is to form.

use std::collections::BTreeMap;

use base::prelude::*;
use groups::{FabricSummary, GroupSpread, spread_groups};

use crate::ControllerState;

/// Number of groups of each deployment, by fabric domain.
pub(crate) fn group_spread(state: &ControllerState) -> GroupSpread {
    let mut summaries: BTreeMap<&FabricName, FabricSummary> = BTreeMap::new();
    let hosts = state.watch.hosts.values();
    for entry in hosts.filter(|entry| !state.watch.is_leaving(&entry.host)) {
        let Some(fabric) = &entry.fabric else {
            continue;
        };
        let summary = summaries
            .entry(fabric)
            .or_insert_with(|| new_summary(state, fabric, &entry.domain));
        summary.hosts += 1;
    }
    let summaries: Vec<FabricSummary> = summaries.into_values().collect();
    let deployments = &state.watch.config.in_force.configuration.deployments;
    spread_groups(deployments, &summaries, &state.settings)
}

fn new_summary(state: &ControllerState, fabric: &FabricName, domain: &DomainName) -> FabricSummary {
    let mut existing = BTreeMap::new();
    let record = state.fabrics.get(fabric).map(|fabric| fabric.record());
    for group in record.iter().flat_map(|record| &record.groups) {
        *existing.entry(group.deployment.clone()).or_default() += 1;
    }
    FabricSummary {
        fabric: fabric.clone(),
        domain: domain.clone(),
        hosts: 0,
        existing,
    }
}
