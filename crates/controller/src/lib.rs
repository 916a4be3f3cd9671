//! Controller: owns fabric domains and orders their hosts into groups.
//!
//! Every entry host runs one, all as equals; for each fabric domain the store's
//! object says which of them owns it. The decisions are those of the `groups`
//! crate; `commands` feed them with what is read and `queries` only read.
//! `border` holds the tasks that touch sockets.

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
