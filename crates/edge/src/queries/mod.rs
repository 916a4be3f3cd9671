//! Looks at the loop's state.

mod deadline;
mod owner;
mod places;
mod status;

pub use deadline::next_deadline;
pub(crate) use owner::{can_own, is_heard, owner};
pub(crate) use places::places;
pub use status::status;
