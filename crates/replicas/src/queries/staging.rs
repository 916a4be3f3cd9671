//! Decides which spare endpoint loads which model.

use std::collections::BTreeMap;

use base::prelude::*;

use super::home_models::HomeModels;
use crate::PlannerState;

/// Models that spare endpoints should load: the home model of their fabric domain,
/// unless it is on their host already.
pub fn plan_staging(
    state: &PlannerState,
    homes: &HomeModels,
    spares: &[HostName],
) -> BTreeMap<HostName, ModelName> {
    let mut staging = BTreeMap::new();
    for id in spares {
        let fabric = state
            .endpoints
            .get(id)
            .and_then(|view| view.endpoint.fabric.as_ref());
        let Some(home) = fabric.and_then(|fabric| homes.get(fabric)) else {
            continue;
        };
        if model_of(state, id).as_ref() != Some(home) {
            staging.insert(id.clone(), home.clone());
        }
    }
    staging
}

/// Model whose weights an endpoint has on its host.
fn model_of(state: &PlannerState, id: &HostName) -> Option<ModelName> {
    let view = state.endpoints.get(id)?;
    view.endpoint.staged.first().cloned()
}
