//! Queries: each only reads the state.

mod deadline;

pub use deadline::next_deadline;
