//! Queries about connections and attempts.

mod reuse;
mod runs;

pub use reuse::{is_reusable, may_carry};
pub use runs::{certainty, unproven_count};
