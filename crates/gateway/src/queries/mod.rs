//! Queries: read the state without changing it.

mod authorize;
mod deadline;
mod hosts;
mod reply;
mod status;
mod targets;

pub(crate) use authorize::{Entitlement, authorize, workspace_limits};
pub use deadline::next_deadline;
pub(crate) use hosts::{hosts_to_poll, locate};
pub use reply::reply_to_query;
pub use status::{GatewayStatus, GroupStatus};
pub(crate) use targets::{GroupCondition, group_conditions, service_targets};
