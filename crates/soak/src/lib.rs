//! Randomized fault soak of the entry hosts' daemon.
//!
//! The daemons run as separate processes. Everything around them is played by
//! this process on one thread: the platform's store, plain servers and engines,
//! clients, and loopback proxies between all of them. A plan drawn from a seed
//! kills, stops and pauses the daemons, spoils connections, takes the store
//! away and ends servers, in series that overlap. What clients and servers see
//! is checked while it runs.
//!
//! This crate speaks the platform's protocol, because it plays the platform.

mod book;
mod clients;
mod nodes;
pub mod options;
mod plan;
mod proxy;
mod run;
mod standin;

pub use book::{RequestKind, RunBook, Tally};
pub use options::SoakOptions;
pub use plan::{Fault, FaultPlan, FaultStep, LinkMode, PlanSize};
pub use run::{SoakError, SoakReport, run_seed};
