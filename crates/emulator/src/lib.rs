//! Emulators of the systems around bronzerun, and a load generator.
//!
//! [`platform`] stores objects and the list of hosts, [`engine`] applies orders
//! and streams tokens, [`plain`] executes calls and records each of them. Faults
//! can be injected, so that tests can cause the failures that they cover.

pub mod engine;
mod fleet;
mod load;
pub mod pages;
pub mod plain;
pub mod platform;
pub mod web;

pub use fleet::{
    FleetError, FleetHost, FleetPlan, run_engine, run_plain, run_platform, start_fleet,
};
pub use load::{LoadPlan, LoadResult, run_load};
