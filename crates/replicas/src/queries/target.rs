//! Which model a fabric domain runs, and how many groups of it.
//!
//! A fabric domain runs one model, its home model. So every spare endpoint of
//! the domain can replace every lost member, and an empty one is loaded with a
//! model that is sure to be needed there.

use std::collections::BTreeMap;

use base::prelude::*;
use intent::{EngineProfile, ModelProfile, Service};

use super::survey::DomainSurvey;
use super::verdict::is_usable;
use crate::PlannerState;

/// Home models by fabric domain.
pub type HomeTable = BTreeMap<FabricName, ModelName>;

/// Usable endpoints of a fabric domain.
fn count_usable(state: &PlannerState, survey: &DomainSurvey, fabric: &FabricName) -> usize {
    let views = survey.views(state, fabric);
    views.filter(|view| is_usable(view)).count()
}

/// Home models of a service's fabric domains.
///
/// A domain keeps the model that it has; else the one that most of its
/// endpoints hold; else the one whose share of the domains is furthest off.
pub fn home_models(
    state: &PlannerState,
    survey: &DomainSurvey,
    engine: &EngineProfile,
    is_early: bool,
) -> HomeTable {
    let mut homes = HomeTable::new();
    for fabric in survey.fabrics() {
        let kept = state.homes.get(fabric).cloned();
        let kept = kept.or_else(|| most_held(state, survey, fabric));
        let known = kept.filter(|model| engine.model(model).is_some());
        if let Some(model) = known {
            homes.insert(fabric.clone(), model);
        }
    }
    for fabric in survey.fabrics() {
        if homes.contains_key(fabric) {
            continue;
        }
        let usable = count_usable(state, survey, fabric);
        let fits = |model: &&ModelProfile| is_early || model.size <= usable;
        let models = engine.models.iter().filter(fits);
        let lack = |model: &ModelProfile| share_lack(model, engine, &homes);
        let most = models.max_by(|a, b| lack(a).total_cmp(&lack(b)).then(a.size.cmp(&b.size)));
        if let Some(model) = most {
            homes.insert(fabric.clone(), model.name.clone());
        }
    }
    homes
}

/// Domains that a model lacks for its share, if one more were given out.
fn share_lack(model: &ModelProfile, engine: &EngineProfile, homes: &HomeTable) -> f64 {
    let whole: f64 = engine.models.iter().map(|model| model.share).sum();
    let present = homes.values().filter(|home| **home == model.name).count();
    let wanted = model.share / whole.max(f64::MIN_POSITIVE) * (homes.len() + 1) as f64;
    wanted - present as f64
}

/// Model that most endpoints of a domain run or hold.
fn most_held(
    state: &PlannerState,
    survey: &DomainSurvey,
    fabric: &FabricName,
) -> Option<ModelName> {
    let mut counts: BTreeMap<ModelName, usize> = BTreeMap::new();
    for view in survey.views(state, fabric) {
        let in_group = survey.model_of(&view.endpoint.id);
        if let Some(model) = in_group.or_else(|| view.endpoint.staged.first()) {
            *counts.entry(model.clone()).or_default() += 1;
        }
    }
    counts
        .into_iter()
        .max_by_key(|(_, count)| *count)
        .map(|(model, _)| model)
}

/// Groups and endpoints of one fabric domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FabricInventory {
    /// Fabric domain.
    pub fabric: FabricName,
    /// Its home model.
    pub model: ModelName,
    /// Usable endpoints.
    pub usable: usize,
    /// Groups that the record has.
    pub groups: usize,
    /// Usable endpoints outside groups that hold the model.
    pub spares: usize,
}

/// Groups and spare endpoints by fabric domain.
pub fn fabric_inventories(
    state: &PlannerState,
    service: &Service,
    engine: &EngineProfile,
) -> Vec<FabricInventory> {
    let survey = DomainSurvey::new(state, &state.record, service);
    let homes = home_models(state, &survey, engine, true);
    let stocks = homes.into_iter().map(|(fabric, model)| {
        let free = survey.free(state, &fabric);
        FabricInventory {
            usable: count_usable(state, &survey, &fabric),
            groups: survey.group_count(&fabric),
            spares: free
                .filter(|view| view.endpoint.staged.contains(&model))
                .count(),
            fabric: fabric.clone(),
            model,
        }
    });
    stocks.collect()
}
