//! Read-only queries of the admission state.

mod deadline;
mod depth;
mod retry;
mod slots;
mod wait;

pub use deadline::next_deadline;
pub use depth::{QueueDepth, count_running, queue_bound, queue_depths};
pub use retry::has_retry;
pub use slots::split_slots;
pub use wait::estimate_wait;
