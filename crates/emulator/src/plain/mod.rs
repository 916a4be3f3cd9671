//! Emulator of a plain service that records every call it executes.

mod service;

pub use service::{ExecutedCall, PlainOptions, PlainService};
