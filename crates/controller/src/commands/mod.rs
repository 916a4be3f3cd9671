//! Commands: each changes the state and returns what it wants done.

pub mod fabrics;
pub mod stop;
pub mod watch;
