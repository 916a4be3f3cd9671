//! Commands of one node about one fabric domain.
//!
//! Each changes a [`crate::FabricState`]; what it wants done comes back as
//! [`crate::FabricEffect`]s. The border hands every read, watch event, report
//! and write result to a command, and calls `tick` afterwards and at
//! [`crate::FabricState::next_deadline`].

mod lease;
mod observe;
mod orders;
mod tick;
mod timers;
mod write;

pub use observe::RecordOutcome;
