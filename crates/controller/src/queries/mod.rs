//! Queries: each only reads the state.

mod deadline;
mod hosts;
mod spread;
mod status;

pub use deadline::next_deadline;
pub(crate) use hosts::{asked_hosts, has_released};
pub(crate) use spread::spread;
pub use status::{ControllerStatus, FabricStatus, describe};
