//! bronzerun, a serving system for models that span several hosts.
//!
//! Re-exports the crates of the workspace and holds the entry points of the
//! programs. The decision logic is in [`groups`], [`limits`], [`routing`],
//! [`ledger`], [`members`] and [`document`]; the daemons [`gateway`] and
//! [`controller`] run it. On the users' platform the daemon is [`edge`], whose
//! interfaces to that platform are implemented by [`platform`].

mod daemon;
mod demo;
mod emulate;

pub use base;
pub use controller;
pub use document;
pub use edge;
pub use gateway;
pub use groups;
pub use interface;
pub use ledger;
pub use limits;
pub use members;
pub use net;
pub use platform;
pub use routing;
pub use settings;
pub use store;

pub use daemon::{run_controller, run_edge, run_gateway};
pub use demo::run_demo;
pub use emulate::run_emulator;
