//! Configuration set by the operators: routes, workspaces, services and limits.
//!
//! A [`RoutingConfig`] is one complete, immutable version. A process replaces its version
//! only by a newer one, see [`ConfigSlot`]. The queries find the route and the
//! workspace of a request.

mod config;
mod engine;
mod notices;
mod slot;

pub mod queries;

pub use config::{
    CallKind, ClientLimits, ColdStart, Route, RoutingConfig, Service, WeightedService, Workspace,
};
pub use engine::{EngineProfile, EngineTiming, ModelProfile, TokenCounts};
pub use notices::ConfigNotices;
pub use slot::{AdoptOutcome, ConfigSlot};
