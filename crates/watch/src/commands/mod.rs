//! Commands, which change the state and return what changed or which reads to start.

mod observe;
mod start;

pub use observe::{adopt_document, observe};
pub use start::{set_polled_hosts, start_due_reads};
