//! How many groups each fabric domain forms.

use std::collections::BTreeMap;

use base::prelude::*;
use groups::{FabricSummary, GroupSpread, spread_groups};

use crate::ControllerState;

/// Groups of each deployment for each fabric domain.
pub(crate) fn spread(state: &ControllerState) -> GroupSpread {
    let mut summaries: BTreeMap<&FabricName, FabricSummary> = BTreeMap::new();
    let hosts = state.watch.hosts.values();
    for entry in hosts.filter(|entry| !state.watch.is_leaving(&entry.host)) {
        let Some(fabric) = &entry.fabric else {
            continue;
        };
        let shape = summaries
            .entry(fabric)
            .or_insert_with(|| new_summary(state, fabric, &entry.domain));
        shape.hosts += 1;
    }
    let summaries: Vec<FabricSummary> = summaries.into_values().collect();
    let deployments = &state.watch.config.in_force.configuration.deployments;
    spread_groups(deployments, &summaries, &state.settings)
}

fn new_summary(state: &ControllerState, fabric: &FabricName, domain: &DomainName) -> FabricSummary {
    let mut standing = BTreeMap::new();
    let record = state.fabrics.get(fabric).map(|known| known.record());
    for group in record.iter().flat_map(|record| &record.groups) {
        *standing.entry(group.deployment.clone()).or_default() += 1;
    }
    FabricSummary {
        fabric: fabric.clone(),
        domain: domain.clone(),
        hosts: 0,
        existing: standing,
    }
}
