//! Queries: each only reads the state.

mod answer;
mod authorize;
mod deadline;
mod hosts;
mod places;
mod status;

pub use answer::answer_question;
pub(crate) use authorize::{Entitlement, authorize, workspace_shares};
pub use deadline::next_deadline;
pub(crate) use hosts::{locate, watched_hosts};
pub(crate) use places::{running_places, service_targets};
pub use status::{GatewayStatus, GroupStatus};
