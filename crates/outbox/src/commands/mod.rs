//! Commands that change the outbox.

mod queue;
mod send;

pub use queue::{discard, queue};
pub use send::{charge, suspend, take_next};
