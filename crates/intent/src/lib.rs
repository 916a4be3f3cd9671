//! The configuration in force: routes, workspaces, services and limits.
//!
//! An [`RoutingConfig`] is one whole version, immutable once made. A process replaces
//! its intent only by a newer one, see [`ConfigSlot`]. The queries find the
//! route and the workspace of a request.

mod engine;
mod model;
mod slot;

pub mod queries;

pub use engine::{EngineProfile, ModelProfile};
pub use model::{
    CallKind, ClientLimits, Route, RoutingConfig, Service, WeightedService, Workspace,
};
pub use slot::{AdoptOutcome, ConfigSlot};
