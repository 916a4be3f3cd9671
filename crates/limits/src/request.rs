//! Calls that ask to be admitted.

use base::prelude::*;

/// Order of calls within one workspace.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum CallPriority {
    /// Runs when nothing else of its workspace waits.
    Low,
    /// Usual calls.
    #[default]
    Normal,
    /// Goes before the other calls of its workspace.
    High,
}

/// Call that asks to be admitted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// Call it is about.
    pub call: CallId,
    /// Workspace that pays for it.
    pub workspace: WorkspaceName,
    /// Service it addresses.
    pub service: ServiceName,
    /// Its order within the workspace.
    pub priority: CallPriority,
    /// Last instant at which it may start.
    pub deadline: ClockTime,
    /// Work it is expected to be, such as its tokens; at least one.
    pub cost: u32,
}
