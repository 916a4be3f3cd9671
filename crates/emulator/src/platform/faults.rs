//! Faults that the platform can be told to have.

use serde::{Deserialize, Serialize};

/// What goes wrong until told otherwise.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlatformFaults {
    /// Closes every connection without an answer.
    pub down: bool,
    /// Delay of each answer in milliseconds.
    pub delay_ms: u64,
    /// Updates that take effect and whose replies are then lost.
    pub lose_replies: u32,
    /// Updates that are lost before they take effect.
    pub lose_requests: u32,
    /// Freezes the list of hosts as it was when this was set.
    pub freeze_hosts: bool,
}
