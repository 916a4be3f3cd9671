//! Demand for the models of a service and what its fabric domains carry.

use std::collections::BTreeMap;

use base::prelude::*;
use intent::{EngineProfile, Service};

use super::capacity::measured_capacity;
use super::fabric_index::FabricIndex;
use super::group_health::is_usable;
use super::home_models::home_models;
use super::placement::{DomainSupply, LoadCeiling, ModelSupply, PlacementInput, PreviousMove};
use crate::loads::RATE_FRACTION;
use crate::{EndpointView, GroupPhase, LoadFigures, PlannerState};

/// Averaged demand for the models of a service and what their groups carry, as far as it is known.
pub fn model_figures(state: &PlannerState, service: &Service) -> Vec<(ModelName, LoadFigures)> {
    let Some(engine) = service.engine.as_ref().filter(|of| of.models.len() > 1) else {
        return Vec::new();
    };
    let input = placement_input(state, service, engine);
    let models = input.models.iter();
    models
        .filter_map(|model| Some((model.model.clone(), input.figures(model)?)))
        .collect()
}

/// What the decision about a service's domains depends on.
pub(crate) fn placement_input(
    state: &PlannerState,
    service: &Service,
    engine: &EngineProfile,
) -> PlacementInput {
    let fabric_index = FabricIndex::new(state, &state.record, service);
    let homes = home_models(state, &fabric_index, engine, false);
    let mut serving: BTreeMap<&ModelName, usize> = BTreeMap::new();
    let groups = state.record.groups.iter();
    for group in groups.filter(|group| group.service == service.name) {
        if group.phase == GroupPhase::Serving {
            *serving.entry(&group.model).or_default() += 1;
        }
    }
    let models = engine.models.iter().map(|model| {
        let key = (service.name.clone(), model.name.clone());
        let average = state.placement.averages.get(&key);
        let average = average.copied().unwrap_or_default();
        let serving = serving.get(&model.name).copied().unwrap_or(0);
        let measured = || measured_capacity(&average, serving, engine.slots);
        ModelSupply {
            model: model.name.clone(),
            group_size: model.group_size,
            load_time: model.load_time,
            demand: average.demand,
            carried: average.carried,
            slots: serving * engine.slots,
            group_capacity: measured(),
            short_since: average.short_since,
            priority: average.priority,
        }
    });
    let domains = homes.iter().filter_map(|(fabric, model)| {
        let mut views = fabric_index.views(state, fabric);
        let domain = views.next()?.endpoint.domain.clone();
        let views = fabric_index.views(state, fabric).filter(|view| {
            let id = &view.endpoint.id;
            let is_of_home = fabric_index.model_of(id).is_none_or(|of| of == model);
            let is_lent = state.placement.lent_model(fabric, id).is_some();
            is_usable(view) && is_of_home && !is_lent
        });
        let views: Vec<_> = views.collect();
        let is_spare = |view: &&&EndpointView| fabric_index.model_of(&view.endpoint.id).is_none();
        let groups = state.record.groups.iter().filter(|group| {
            let head = state.endpoints.get(&group.head().id);
            head.and_then(|view| view.endpoint.fabric.as_ref()) == Some(fabric)
        });
        let mut counts: BTreeMap<ModelName, usize> = BTreeMap::new();
        for group in groups.filter(|group| group.phase != GroupPhase::Closing) {
            *counts.entry(group.model.clone()).or_default() += 1;
        }
        Some(DomainSupply {
            domain,
            model: model.clone(),
            usable: views.len(),
            spares: views.iter().filter(is_spare).count(),
            groups: counts.remove(model).unwrap_or(0),
            guests: counts,
            fabric: fabric.clone(),
        })
    });
    let last = state.placement.last_move.as_ref();
    PlacementInput {
        service: service.name.clone(),
        models: models.collect(),
        domains: domains.collect(),
        loads: LoadCeiling {
            per_second: engine.loads_per_second * RATE_FRACTION,
            concurrent: engine.max_concurrent_loads,
        },
        previous: last.map(|last| PreviousMove {
            from: last.plan.from.clone(),
            to: last.plan.to.clone(),
            ended_at: last.ended_at,
        }),
        is_lending: state.placement.loans.values().any(|loan| !loan.has_served),
    }
}
