//! Commands: each changes the state and returns what changed or what to read.

mod observe;
mod start;

pub use observe::observe;
pub use start::{set_asked, start_due};
