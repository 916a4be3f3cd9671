//! Admission requests and their priorities.

use base::prelude::*;

/// Priority of a call within its workspace.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum CallPriority {
    /// Runs when no other call of its workspace waits.
    Low,
    /// Default priority.
    #[default]
    Normal,
    /// Runs before the other calls of its workspace.
    High,
}

/// Request to admit a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// Number of the call.
    pub call: CallId,
    /// Workspace that is charged for the call.
    pub workspace: WorkspaceName,
    /// Service that is called.
    pub service: ServiceName,
    /// Priority within the workspace.
    pub priority: CallPriority,
    /// Last instant at which the call may start.
    pub deadline: ClockTime,
    /// Expected cost, such as the number of tokens; 0 counts as 1.
    pub cost: u32,
}
