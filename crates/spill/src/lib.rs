//! Traffic between failure domains: which share of a domain's requests leaves it, and to where.
//!
//! A domain's own servers come first while they serve in time. What exceeds them goes to the
//! nearest domains with spare capacity, which is what their own callers leave. The plan is
//! computed from sums that all nodes of a domain share, so that they act alike. Nothing here
//! depends on a node's own queue: nodes with different counts would otherwise push the same
//! requests back and forth.
//!
//! The daemon does not use the plan yet, see `docs/design/traffic-between-domains.md`.

mod delays;
mod plan;
mod settings;
mod view;

pub mod queries;

pub use delays::DomainDelays;
pub use plan::{ShareChange, SpillPlan, SpillReason};
pub use settings::SpillSettings;
pub use view::{DomainDemand, DomainPair, DomainSupply, SpillView, TrafficPool};
