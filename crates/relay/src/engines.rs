//! Model engines whose times are known, by service and model.

use std::collections::HashMap;

use admission::{DemandRates, EngineEstimate};
use base::prelude::*;
use intent::{RoutingConfig, Service};

/// What decides about the admission of requests for one model.
#[derive(Clone, Debug)]
pub(crate) struct EngineState {
    pub estimate: EngineEstimate,
    /// Rates of the requests that arrive at this node.
    pub rates: DemandRates,
}

/// Engines by service and model.
#[derive(Clone, Debug, Default)]
pub(crate) struct EngineStates(HashMap<(ServiceName, ModelName), EngineState>);

impl EngineStates {
    /// Adopts the profiles of a configuration with this many slots or more; keeps what was learnt
    /// about engines that remain.
    pub fn configure(&mut self, config: &RoutingConfig, min_slots: usize) {
        let mut earlier = std::mem::take(&mut self.0);
        for service in config.services.values() {
            for (model, estimate) in estimates(service, min_slots) {
                let key = (service.name.clone(), model);
                let state = match earlier.remove(&key) {
                    Some(earlier) => EngineState {
                        estimate: estimate.with_offset_of(&earlier.estimate),
                        rates: earlier.rates,
                    },
                    None => EngineState {
                        estimate,
                        rates: DemandRates::default(),
                    },
                };
                self.0.insert(key, state);
            }
        }
    }

    pub fn get(&self, service: &ServiceName, model: Option<&ModelName>) -> Option<&EngineState> {
        self.0.get(&(service.clone(), model?.clone()))
    }

    pub fn get_mut(
        &mut self,
        service: &ServiceName,
        model: Option<&ModelName>,
    ) -> Option<&mut EngineState> {
        self.0.get_mut(&(service.clone(), model?.clone()))
    }
}

/// Estimates of a service's models; none without timings, or with fewer slots.
fn estimates(service: &Service, min_slots: usize) -> Vec<(ModelName, EngineEstimate)> {
    let engine = service.engine.as_ref();
    let Some(engine) = engine.filter(|engine| engine.slots >= min_slots) else {
        return Vec::new();
    };
    let models = engine.models.iter().filter_map(|model| {
        let estimate = EngineEstimate::new(engine.timing?, engine.slots, model.latency_factor);
        Some((model.name.clone(), estimate))
    });
    models.collect()
}
