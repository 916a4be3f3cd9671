//! Outcomes of calls.

use base::prelude::*;

/// Result of offering a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdmissionOutcome {
    /// The call may run now.
    Admitted,
    /// The call waits; a later [`QueueChange`] contains its outcome.
    Queued {
        /// Waiting call of lower priority that was refused in favour of this one.
        displaced: Option<CallRefusal>,
    },
    /// The call was not run and will not be.
    Refused(CallRefusal),
}

/// Refusal of a call that was not run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallRefusal {
    /// The refused call.
    pub call: CallId,
    /// Why it was not run.
    pub reason: AdmissionRefusalReason,
    /// Earliest instant at which the caller should retry.
    pub retry_at: ClockTime,
}

/// Why a call was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum AdmissionRefusalReason {
    /// The workspace is not configured on this node.
    UnknownWorkspace,
    /// The service has no slots on this node, usually because no target serves it at present.
    NoCapacity,
    /// The queue of the workspace is full.
    QueueFull,
    /// The call cannot start, or did not start, by its deadline.
    Deadline,
}

/// Outcomes of waiting calls.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct QueueChange {
    /// Calls that may run now, in the order of their start.
    pub admitted: Vec<CallId>,
    /// Calls that were not run and will not be.
    pub refused: Vec<CallRefusal>,
}
