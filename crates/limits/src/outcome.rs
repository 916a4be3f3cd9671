//! What becomes of calls.

use base::prelude::*;

/// Answer to an offered call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdmissionOutcome {
    /// It may run now.
    Admitted,
    /// It waits; a later [`QueueChange`] tells its end.
    Queued {
        /// Waiting call of lower priority that lost its place to this one.
        displaced: Option<CallRefusal>,
    },
    /// It was not run and won't be.
    Refused(CallRefusal),
}

/// Call that was not run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallRefusal {
    /// Call it is about.
    pub call: CallId,
    /// Why it was not run.
    pub reason: RefusalReason,
    /// Instant before which the caller should not ask again.
    pub retry_at: ClockTime,
}

/// Why a call was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RefusalReason {
    /// The workspace is not in force on this node.
    UnknownWorkspace,
    /// Nothing serves the service at present.
    NoCapacity,
    /// Its workspace has as many calls waiting as it may.
    QueueFull,
    /// It can't start, or did not start, by its deadline.
    Deadline,
}

/// Ends of waiting calls.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct QueueChange {
    /// Calls that may run now, in order.
    pub admitted: Vec<CallId>,
    /// Calls that were not run and won't be.
    pub refused: Vec<CallRefusal>,
}
