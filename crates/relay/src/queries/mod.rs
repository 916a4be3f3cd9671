//! Queries that only read the relay's state.

mod choose;
mod counts;
mod spread;

pub(crate) use choose::choose_target;
pub use counts::{attempt_of, local_counts, target_of, total_counts};
