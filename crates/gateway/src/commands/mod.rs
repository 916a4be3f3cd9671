//! Commands: each changes the state and returns the effects to execute.
//!
//! `calls` admits and sends calls, `attempts` handles the outcomes of their
//! attempts, `holds` keeps those open whose endpoint may go on, `queue` and `ledger` apply the results of the crates `limits` and
//! `ledger`.

pub mod attempts;
pub mod calls;
pub mod holds;
pub mod ledger;
pub mod peers;
pub mod queue;
pub mod shutdown;
pub mod targets;
pub mod watch;
