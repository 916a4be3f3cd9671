//! How many groups each fabric domain forms.

use std::collections::BTreeMap;

use base::prelude::*;
use groups::{FabricShape, GroupSpread, spread_groups};

use crate::ControllerState;

/// Groups of each deployment for each fabric domain.
pub(crate) fn spread(state: &ControllerState) -> GroupSpread {
    let mut shapes: BTreeMap<&FabricName, FabricShape> = BTreeMap::new();
    let hosts = state.watch.hosts.values();
    for entry in hosts.filter(|entry| !state.watch.is_leaving(&entry.host)) {
        let Some(fabric) = &entry.fabric else {
            continue;
        };
        let shape = shapes
            .entry(fabric)
            .or_insert_with(|| new_shape(state, fabric, &entry.domain));
        shape.hosts += 1;
    }
    let shapes: Vec<FabricShape> = shapes.into_values().collect();
    let deployments = &state.watch.config.in_force.configuration.deployments;
    spread_groups(deployments, &shapes, &state.settings)
}

fn new_shape(state: &ControllerState, fabric: &FabricName, domain: &DomainName) -> FabricShape {
    let mut standing = BTreeMap::new();
    let record = state.fabrics.get(fabric).map(|known| known.record());
    for group in record.iter().flat_map(|record| &record.groups) {
        *standing.entry(group.deployment.clone()).or_default() += 1;
    }
    FabricShape {
        fabric: fabric.clone(),
        domain: domain.clone(),
        hosts: 0,
        standing,
    }
}
