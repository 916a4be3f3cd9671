//! Commands that change what connections have carried and which attempts may have run.

mod carry;
mod runs;

pub use carry::{accept, send};
pub use runs::{record_not_run, record_start};
