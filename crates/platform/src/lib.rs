//! Clients of what surrounds the system: the platform's object API and list of
//! hosts, and the orders that endpoints take.
//!
//! Each is met through its HTTP interface and a trait object, so that the
//! decision code and its tests never see HTTP.

mod engine;
mod hosts;
mod objects;
pub mod wire;

pub use engine::{EnginePort, GroupOrder, HttpEngines, OrderOutcome, ReportOutcome};
pub use hosts::{HostDirectory, HostEntry, HostsOutcome, HttpHostDirectory, Presence};
pub use objects::HttpObjectStore;
