//! Forms endpoints into replica groups, each with a head.
//!
//! One record in the store lists every group with its epoch and its exact members.
//! The record is written by conditional update before any order that depends on
//! it is sent, and epochs only increase. Two concurrent owners can therefore delay
//! each other but not create conflicting groups, and an order that is executed late
//! is rejected by the endpoint or has no effect. `commands` change a
//! [`PlannerState`] and return [`PlanEffect`]s; `queries` only read.
//!
//! Three invariants make this safe:
//!
//! - A group serves only once every member was seen ready under the group's name
//!   and epoch. The record states this, and gateways rely on the record alone.
//! - An endpoint joins a group of another name only after it has left its previous
//!   group, unless that group never opened.
//! - If a member is lost, leaving or restarted, its group is ended in the record
//!   before any endpoint is reassigned.

mod endpoint;
mod loads;
mod order;
mod placement;
mod record;
mod settings;
mod state;
mod wire;

pub mod commands;
pub mod queries;

pub use endpoint::{ColdReport, Endpoint, EndpointReport, MemberPhase, Membership, Presence};
pub use order::{MemberOrder, OrderOutcome, PlanEffect, ProbeOutcome};
pub use placement::{DomainMove, LoadFigures, ModelDemand, SpareLoan};
pub use record::{GroupEntry, GroupPhase, GroupRecord, MemberRef};
pub use settings::PlannerSettings;
pub use state::{EndpointView, PlannerState};
pub use wire::{RecordError, RecordWire};
