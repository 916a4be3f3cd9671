//! Commands: each changes the state and returns what changed or what to read.

mod observe;
mod start;

pub use observe::{adopt_document, observe};
pub use start::{set_polled_hosts, start_due_reads};
