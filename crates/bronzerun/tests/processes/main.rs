//! Runs the daemons as separate processes that are killed, paused, partitioned
//! and stopped.
//!
//! Each test starts its own fleet on ports that the kernel chooses and writes
//! the logs to a folder under the build folder's `tmp`.

mod calls;
mod client;
mod configuration;
mod groups;
mod idempotency;
mod leaving;
mod peers;
mod process;
mod responses;
mod security;
mod shutdown;
mod support;
