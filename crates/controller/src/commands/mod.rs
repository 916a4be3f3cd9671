//! Commands: each changes the state and returns the effects to execute.

pub mod fabrics;
pub mod shutdown;
pub mod watch;
