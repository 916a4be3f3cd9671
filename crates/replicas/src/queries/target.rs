//! How many groups of each model a fabric domain should have.

use std::collections::{BTreeMap, BTreeSet};

use base::prelude::*;
use intent::{EngineProfile, ModelProfile, Service};

use super::verdict::is_usable;
use crate::PlannerState;

/// Endpoints of a fabric domain for each that is kept spare.
const ENDPOINTS_PER_SPARE: usize = 5;

/// Groups of one model in one fabric domain.
#[derive(Clone, Debug, PartialEq)]
pub struct Shortage {
    /// Fabric domain.
    pub fabric: FabricName,
    /// Model.
    pub model: ModelName,
    /// Groups that there should be.
    pub target: usize,
    /// Groups that there are.
    pub present: usize,
}

/// Counts of groups for a number of endpoints, in the order of the models.
///
/// Groups are added one at a time for the model that is furthest below its
/// share of the endpoints; a fifth of the endpoints stays spare.
pub fn share_out(endpoints: usize, models: &[ModelProfile]) -> Vec<usize> {
    let mut counts = vec![0_usize; models.len()];
    let mut left = endpoints - endpoints / ENDPOINTS_PER_SPARE;
    loop {
        let fits = (0..models.len()).filter(|&i| models[i].size <= left && models[i].share > 0.0);
        let filled = |i: usize| (counts[i] * models[i].size) as f64 / models[i].share;
        let next = fits.min_by(|&a, &b| {
            let by_share = filled(a).total_cmp(&filled(b));
            by_share.then(models[b].size.cmp(&models[a].size))
        });
        let Some(next) = next else {
            return counts;
        };
        counts[next] += 1;
        left -= models[next].size;
    }
}

/// Fabric domains of a service.
pub(super) fn fabrics_of(state: &PlannerState, service: &Service) -> BTreeSet<FabricName> {
    state
        .endpoints
        .values()
        .filter(|view| view.endpoint.service == service.name)
        .filter_map(|view| view.endpoint.fabric.clone())
        .collect()
}

/// Usable endpoints of a fabric domain.
pub(super) fn count_usable(state: &PlannerState, service: &Service, fabric: &FabricName) -> usize {
    let in_domain = state.endpoints.values().filter(|view| {
        view.endpoint.service == service.name && view.endpoint.fabric.as_ref() == Some(fabric)
    });
    in_domain.filter(|view| is_usable(view)).count()
}

/// Groups by fabric domain and model, as the record has them.
pub fn compose(state: &PlannerState, service: &Service, engine: &EngineProfile) -> Vec<Shortage> {
    let mut present: BTreeMap<(FabricName, ModelName), usize> = BTreeMap::new();
    for group in &state.record.groups {
        let head = state.endpoints.get(&group.head().id);
        if let Some(fabric) = head.and_then(|view| view.endpoint.fabric.clone()) {
            *present.entry((fabric, group.model.clone())).or_default() += 1;
        }
    }
    let mut shortages = Vec::new();
    for fabric in fabrics_of(state, service) {
        let usable = count_usable(state, service, &fabric);
        let counts = share_out(usable, &engine.models);
        for (model, target) in engine.models.iter().zip(counts) {
            let key = (fabric.clone(), model.name.clone());
            shortages.push(Shortage {
                present: present.get(&key).copied().unwrap_or(0),
                fabric: key.0,
                model: key.1,
                target,
            });
        }
    }
    shortages
}
