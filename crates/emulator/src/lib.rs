//! Stand-ins for the systems that bronzerun serves, and a load tool.
//!
//! [`platform`] keeps objects and the list of hosts, [`engine`] takes orders
//! and streams tokens, [`plain`] answers calls and remembers each one it ran.
//! Every stand-in can be told to fail, so that tests can cause what they are
//! about.

pub mod engine;
mod fleet;
mod load;
pub mod plain;
pub mod platform;
pub mod web;

pub use fleet::{
    FleetError, FleetHost, FleetPlan, run_engine, run_plain, run_platform, start_fleet,
};
pub use load::{LoadPlan, LoadReport, run_load};
