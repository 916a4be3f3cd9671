//! Parameters of a service's model engines.

use base::prelude::*;

/// Model that each replica group of a service runs.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelProfile {
    /// Name of the model.
    pub name: ModelName,
    /// Number of endpoints in one group.
    pub group_size: usize,
    /// Initial share of the service's load, relative to the other models.
    pub share: f64,
    /// Factor on all of the group's processing times.
    pub latency_factor: f64,
    /// Time to load the weights from the weight store.
    pub load_time: Duration,
    /// Time to load the weights from the host.
    pub warm_load_time: Duration,
}

/// Times and limits of a service's model engines.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineProfile {
    /// Maximum number of concurrent requests of a group.
    pub slots: usize,
    /// Models that the service may run.
    pub models: Vec<ModelProfile>,
    /// Loads from the weight store that may start per second.
    pub loads_per_second: f64,
    /// Concurrent loads above which they slow each other down.
    pub max_concurrent_loads: usize,
    /// Time from the order to open until the head serves.
    pub open_delay: Duration,
}

impl EngineProfile {
    /// Profile of a model; `None` if the service may not run it.
    pub fn model(&self, name: &ModelName) -> Option<&ModelProfile> {
        self.models.iter().find(|model| model.name == *name)
    }
}
