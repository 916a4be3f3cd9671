//! Randomized fault soak of the entry hosts' daemon.
//!
//! The daemons run as separate processes. This process emulates everything
//! around them on one thread: the platform's store, plain servers and engines,
//! clients, and loopback proxies between all of them. A fault plan generated
//! from a seed kills, stops and pauses daemons, disturbs connections, makes the
//! store unavailable and stops servers; faults overlap. The invariants are
//! checked during the run, on what clients send and receive and on what servers
//! receive.
//!
//! The crate implements the platform's side of the wire protocol.

mod addresses;
mod callers;
mod checker;
mod clients;
mod copies;
mod deadly;
mod exchanges;
mod nodes;
pub mod options;
mod plan;
mod platform;
mod proxy;
mod run;
mod shape;
mod trouble;

pub use checker::{
    AnswerRule, CutTries, InvariantChecker, JudgedTally, PromiseTally, RequestKind, Tally,
};
pub use exchanges::{CopyEvidence, CopyTally};
pub use options::SoakOptions;
pub use plan::{
    EndlessForm, Fault, FaultPlan, FaultStep, ForeignForm, ForeignName, Link, LinkMode, PlanKind,
    PlanSize, SitePlanSize,
};
pub use run::{SoakError, SoakReport, run_plan, run_seed, run_site};
