//! Faults that can be injected into the platform.

use serde::{Deserialize, Serialize};

/// Injected faults; in effect until they are replaced.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlatformFaults {
    /// Closes every connection without a response.
    pub down: bool,
    /// Delay of each response, in milliseconds.
    pub delay_ms: u64,
    /// Number of next updates that take effect but whose responses are lost.
    pub lose_replies: u32,
    /// Number of next updates that are lost before they take effect.
    pub lose_requests: u32,
    /// Keeps returning the list of hosts as it was when this was set.
    pub freeze_hosts: bool,
}
