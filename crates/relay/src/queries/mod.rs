//! Queries that only read the relay's state.

mod choose;
mod counts;

pub(crate) use choose::choose_place;
pub use counts::{own_counts, place_of, total_counts};
