//! The configuration in force: routes, workspaces, services and limits.
//!
//! An [`Intent`] is one whole version, immutable once made. A process replaces
//! its intent only by a newer one, see [`IntentSlot`]. The queries find the
//! route and the workspace of a request.

mod engine;
mod model;
mod slot;

pub mod queries;

pub use engine::{EngineProfile, ModelProfile};
pub use model::{CallKind, ClientLimits, Intent, Route, RouteTarget, Service, Workspace};
pub use slot::{AdoptOutcome, IntentSlot};
