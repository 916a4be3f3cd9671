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

/// Tokens of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TokenCounts {
    /// Tokens of the prompt; zero if not known.
    pub prompt: u32,
    /// Largest number of tokens of the answer; zero if not known.
    pub answer: u32,
}

/// Times of an engine's steps, for a model of pace one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineTiming {
    /// Milliseconds of a step, which adds a token to each request.
    pub step_ms: f64,
    /// Milliseconds that each request adds to a step.
    pub per_seq_ms: f64,
    /// Milliseconds that each 1,000 tokens of context add to a step.
    pub context_per_k: f64,
    /// Prompt tokens read a second.
    pub read_per_s: f64,
    /// Milliseconds that each million pairs of prompt tokens add to reading.
    pub pairs_per_m: f64,
    /// Prompt tokens read between two steps.
    pub chunk: f64,
    /// Tokens of an event.
    pub stride: f64,
    /// Tokens of context that a group holds; `None` if not limited.
    pub kv_capacity: Option<f64>,
    /// Tokens of a usual request.
    pub usual: TokenCounts,
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
    /// Times of its steps; `None` if they are not known.
    pub timing: Option<EngineTiming>,
}

impl EngineProfile {
    /// Profile of a model; `None` if the service may not run it.
    pub fn model(&self, name: &ModelName) -> Option<&ModelProfile> {
        self.models.iter().find(|model| model.name == *name)
    }
}
