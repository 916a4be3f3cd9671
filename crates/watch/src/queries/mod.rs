//! Queries, which only inspect the state.

mod deadline;

pub use deadline::next_deadline;
