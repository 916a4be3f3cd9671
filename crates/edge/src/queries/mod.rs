//! Looks at the loop's state.

mod deadline;
mod hubs;
mod owner;
mod places;
mod status;

pub use deadline::next_deadline;
pub(crate) use deadline::plan_due;
pub(crate) use hubs::{hubs, is_hub, is_star, is_told, own_places_version};
pub(crate) use owner::{can_own, is_heard, owner};
pub(crate) use places::places;
pub use status::status;
