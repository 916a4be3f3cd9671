//! Decides which spare endpoint loads which model.

use std::collections::BTreeMap;

use base::prelude::*;

use super::home_models::HomeModels;
use crate::PlannerState;

/// Models that spare endpoints should load: the home model of their fabric domain,
/// or the one that it lends them to, unless it is on their host already.
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
        let lent = fabric.and_then(|fabric| state.placement.lent_model(fabric, id));
        let Some(model) = lent.or_else(|| homes.get(fabric?)) else {
            continue;
        };
        if model_of(state, id).as_ref() != Some(model) {
            staging.insert(id.clone(), model.clone());
        }
    }
    staging
}

/// Model whose weights an endpoint has on its host.
fn model_of(state: &PlannerState, id: &HostName) -> Option<ModelName> {
    let view = state.endpoints.get(id)?;
    view.endpoint.staged.first().cloned()
}
