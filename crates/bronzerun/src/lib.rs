//! bronzerun, a serving system for models that span several hosts.
//!
//! The crates of the workspace under one name, and the entry points of the
//! daemons. Decisions are in [`groups`], [`limits`], [`routing`], [`ledger`],
//! [`members`] and [`document`]; [`gateway`] and [`controller`] run them. On the
//! users' machines [`edge`] runs instead, which meets them through [`platform`].

mod daemon;
mod demo;
mod standin;

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
pub use standin::run_emulator;
