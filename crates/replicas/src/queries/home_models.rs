//! Home model of each fabric domain.
//!
//! A fabric domain runs a single model, its home model. Every spare endpoint of the
//! domain can therefore replace any lost member, and an empty endpoint is loaded with
//! a model that is certain to be needed there.

use std::collections::BTreeMap;

use base::prelude::*;
use intent::{EngineProfile, ModelProfile, Service};

use super::fabric_index::FabricIndex;
use super::group_health::is_usable;
use crate::PlannerState;

/// Home models by fabric domain.
pub type HomeModels = BTreeMap<FabricName, ModelName>;

/// Number of usable endpoints of a fabric domain.
fn count_usable(state: &PlannerState, fabric_index: &FabricIndex, fabric: &FabricName) -> usize {
    let views = fabric_index.views(state, fabric);
    views.filter(|view| is_usable(view)).count()
}

/// Home models of a service's fabric domains.
///
/// A domain keeps its assigned model. Without one it gets the model that most of its
/// endpoints run or store; failing that, the model whose share of the domains is
/// furthest below its target.
pub fn home_models(
    state: &PlannerState,
    fabric_index: &FabricIndex,
    engine: &EngineProfile,
    is_cold_start: bool,
) -> HomeModels {
    let mut homes = HomeModels::new();
    for fabric in fabric_index.fabrics() {
        let kept = state.homes.get(fabric).cloned();
        let kept = kept.or_else(|| most_common_model(state, fabric_index, fabric));
        let offered = kept.filter(|model| engine.model(model).is_some());
        if let Some(model) = offered {
            homes.insert(fabric.clone(), model);
        }
    }
    for fabric in fabric_index.fabrics() {
        if homes.contains_key(fabric) {
            continue;
        }
        let usable = count_usable(state, fabric_index, fabric);
        let fits = |model: &&ModelProfile| is_cold_start || model.group_size <= usable;
        let models = engine.models.iter().filter(fits);
        let deficit = |model: &ModelProfile| share_deficit(model, engine, &homes);
        let furthest_below = models.max_by(|a, b| {
            deficit(a)
                .total_cmp(&deficit(b))
                .then(a.group_size.cmp(&b.group_size))
        });
        if let Some(model) = furthest_below {
            homes.insert(fabric.clone(), model.name.clone());
        }
    }
    homes
}

/// Number of domains that a model is short of its share, counting the domain to be assigned.
fn share_deficit(model: &ModelProfile, engine: &EngineProfile, homes: &HomeModels) -> f64 {
    let total_share: f64 = engine.models.iter().map(|model| model.share).sum();
    let assigned_count = homes.values().filter(|home| **home == model.name).count();
    let target_count = model.share / total_share.max(f64::MIN_POSITIVE) * (homes.len() + 1) as f64;
    target_count - assigned_count as f64
}

/// Model that most endpoints of a domain run or store.
fn most_common_model(
    state: &PlannerState,
    fabric_index: &FabricIndex,
    fabric: &FabricName,
) -> Option<ModelName> {
    let mut counts: BTreeMap<ModelName, usize> = BTreeMap::new();
    for view in fabric_index.views(state, fabric) {
        let in_group = fabric_index.model_of(&view.endpoint.id);
        if let Some(model) = in_group.or_else(|| view.endpoint.staged.first()) {
            *counts.entry(model.clone()).or_default() += 1;
        }
    }
    counts
        .into_iter()
        .max_by_key(|(_, count)| *count)
        .map(|(model, _)| model)
}

/// Numbers of groups and endpoints of one fabric domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FabricInventory {
    /// Fabric domain.
    pub fabric: FabricName,
    /// Home model of the domain.
    pub model: ModelName,
    /// Number of usable endpoints.
    pub usable: usize,
    /// Number of groups in the record.
    pub groups: usize,
    /// Number of usable endpoints outside groups that have the home model on their host.
    pub spares: usize,
}

/// Numbers of groups and spare endpoints by fabric domain.
pub fn fabric_inventories(
    state: &PlannerState,
    service: &Service,
    engine: &EngineProfile,
) -> Vec<FabricInventory> {
    let fabric_index = FabricIndex::new(state, &state.record, service);
    let homes = home_models(state, &fabric_index, engine, true);
    let inventories = homes.into_iter().map(|(fabric, model)| {
        let free = fabric_index.free(state, &fabric);
        FabricInventory {
            usable: count_usable(state, &fabric_index, &fabric),
            groups: fabric_index.group_count(&fabric),
            spares: free
                .filter(|view| view.endpoint.staged.contains(&model))
                .count(),
            fabric: fabric.clone(),
            model,
        }
    });
    inventories.collect()
}
