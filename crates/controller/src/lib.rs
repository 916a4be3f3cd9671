//! Controller: owns fabric domains and assigns their hosts to groups.
//!
//! Every entry host runs one controller, and all are equal; the object of each
//! fabric domain in the store records which of them owns it. The `groups` crate
//! makes the decisions; `commands` pass it what was read, and `queries` only read
//! the state. `border` does the I/O.

mod border;
mod commands;
mod event;
mod handler;
pub mod queries;
mod state;

pub use border::run;
pub use event::{ControllerEffect, ControllerEvent};
pub use handler::ControllerLoop;
pub use queries::{ControllerStatus, FabricStatus};
pub use state::{ControllerState, ControllerTimes};
