//! Plain service that remembers every call it ran.

mod service;

pub use service::{PlainOptions, PlainService, RunRecord};
