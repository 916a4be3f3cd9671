//! What a daemon reads of the platform and of hosts, and when.
//!
//! Both daemons embed a [`WatchState`]: `commands` take in what was read and
//! start what is due, `queries` only read. [`WatchBorder`] carries the reads
//! out through trait objects and hands their ends to the daemon's loop.

mod border;
pub mod commands;
mod event;
pub mod queries;
mod state;

pub use border::{WatchBorder, WatchPorts};
pub use event::{WatchChange, WatchEffect, WatchEvent};
pub use state::{WatchState, WatchTimes};
