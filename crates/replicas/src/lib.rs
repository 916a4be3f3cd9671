//! Replica groups with a head, formed out of endpoints.
//!
//! One record in the store names every group: its epoch and its exact members.
//! The record is written before any order that follows from it, by conditional
//! update, and epochs only grow. So two owners at once can disturb but not
//! contradict each other, and an order that is carried out late is refused by
//! the endpoint or changes nothing. `commands` change a [`PlannerState`] and
//! return [`PlanEffect`]s; `queries` only read.
//!
//! Three rules keep the promises:
//!
//! - A group serves only once each member was seen ready under its name and
//!   epoch. The record says so, and gateways believe nothing else.
//! - An endpoint joins a group of another name only after it has left the one
//!   it was in, unless that one never opened.
//! - A member that is lost, leaving or restarted ends its group in the record
//!   before anything moves.

mod endpoint;
mod loads;
mod order;
mod record;
mod settings;
mod state;
mod wire;

pub mod commands;
pub mod queries;

pub use endpoint::{Endpoint, EndpointReport, MemberPhase, Membership, Presence};
pub use order::{MemberOrder, OrderOutcome, PlanEffect, ReportOutcome};
pub use record::{GroupEntry, GroupPhase, GroupRecord, MemberRef};
pub use settings::PlannerSettings;
pub use state::{EndpointView, PlannerState};
pub use wire::{RecordError, RecordWire};
