//! What a node sends next to each other node.
//!
//! For each receiver one digest, one list of targets and one record wait at most: a newer one
//! replaces the older. Crash evidence waits in order, within a bound. Digests are sent first and
//! without a limit. All other kinds share budgets of bytes a second over all receivers, so that
//! whatever they grow to, the node's link keeps room for digests and for its reads of the store.
//!
//! A message is encoded once it is taken, so its size is charged afterwards: a budget that is
//! overdrawn holds up the next message of its kinds. Receivers that wait for a budget take turns
//! in the order in which they began to wait.
//!
//! [`commands`] change an [`OutboxState`]; [`queries`] only read it.

mod message;
mod settings;
mod state;

pub mod commands;
pub mod queries;

pub use message::{DiscardReason, DiscardedMessage, MessageKind, SendStep, WaitingMessage};
pub use settings::OutboxSettings;
pub use state::OutboxState;
