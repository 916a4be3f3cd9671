//! Commands: each changes the state and returns what it wants done.
//!
//! `calls` takes calls in and sends them, `attempts` takes in how that went,
//! `queue` and `ledger` carry the outcomes of the crates of those names.

pub mod attempts;
pub mod calls;
pub mod ledger;
pub mod peers;
pub mod queue;
pub mod stop;
pub mod targets;
pub mod watch;
