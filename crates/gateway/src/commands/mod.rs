//! Commands: each changes the state and returns what it wants done.

pub mod calls;
pub mod poll;
pub mod stop;
pub mod targets;
pub mod watch;
