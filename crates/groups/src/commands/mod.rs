//! Commands that change the state of one node for one fabric domain.
//!
//! Commands change a [`crate::FabricState`]; the actions to perform are returned
//! as [`crate::FabricEffect`]s. The border passes every read, watch event, report
//! and write result to a command, and calls `tick` afterwards and at
//! [`crate::FabricState::next_deadline`].

mod lease;
mod observe;
mod orders;
mod tick;
mod timers;
mod write;

pub use observe::RecordOutcome;
