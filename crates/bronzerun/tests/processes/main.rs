//! The daemons as separate processes, killed, paused, cut off and stopped.
//!
//! Each test starts a fleet of its own on ports that the kernel chooses and
//! keeps its logs under the build folder's `tmp`.

mod answers;
mod calls;
mod client;
mod configuration;
mod groups;
mod leaving;
mod once;
mod peers;
mod process;
mod security;
mod stops;
mod support;
