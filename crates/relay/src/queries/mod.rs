//! Looks at the relay's state.

mod choose;
mod counts;

pub(crate) use choose::choose_target;
pub use counts::{local_counts, target_of, total_counts};
