//! Periodic reads of the object store, the platform's list of hosts and the hosts'
//! reports.
//!
//! The gateway and the controller each embed a [`WatchState`]: `commands` record
//! the results of reads and start the reads that are due, `queries` only inspect
//! the state. [`WatchExecutor`] performs the reads through trait objects and sends
//! the results to the daemon's event loop.

mod border;
pub mod commands;
mod event;
pub mod queries;
mod state;

pub use border::{WatchExecutor, WatchPorts};
pub use event::{WatchChange, WatchEffect, WatchEvent};
pub use state::{WatchState, WatchTimes};
