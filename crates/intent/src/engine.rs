//! How the model engines of a service work.

use base::prelude::*;

/// Model that a group of servers runs together.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelProfile {
    /// Name.
    pub name: ModelName,
    /// Servers of one group.
    pub size: usize,
    /// Share of the service's work at the start.
    pub share: f64,
    /// Factor on all of the group's times.
    pub latency_factor: f64,
    /// Time to load the weights from the weight store.
    pub load: Duration,
    /// Time to load the weights from the host.
    pub warm: Duration,
}

/// Times and limits of a service's engines.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineProfile {
    /// Requests that a group runs at once.
    pub slots: usize,
    /// Models it may run.
    pub models: Vec<ModelProfile>,
    /// Loads from the weight store that may start in a second.
    pub loads_per_second: f64,
    /// Loads that run at once before each slows the others.
    pub max_concurrent_loads: usize,
    /// Time from the order to serve until the head serves.
    pub open_delay: Duration,
}

impl EngineProfile {
    /// Profile of a model.
    pub fn model(&self, name: &ModelName) -> Option<&ModelProfile> {
        self.models.iter().find(|model| model.name == *name)
    }
}
