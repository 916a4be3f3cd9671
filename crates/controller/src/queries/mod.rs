//! Queries: read the state without changing it.

mod deadline;
mod hosts;
mod spread;
mod status;

pub use deadline::next_deadline;
pub(crate) use hosts::{has_released, hosts_to_poll};
pub(crate) use spread::group_spread;
pub use status::{ControllerStatus, FabricStatus, controller_status};
