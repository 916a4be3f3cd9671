//! Outcome of a command or query.

use crate::{ExitStatus, Report};

/// Report of a command and its exit status.
pub struct CommandOutcome {
    /// Report to print.
    pub report: Box<dyn Report>,
    /// Exit status of the process.
    pub status: ExitStatus,
}

impl CommandOutcome {
    /// Outcome of a command that succeeded.
    pub fn success(report: impl Report + 'static) -> Self {
        Self::with_status(report, ExitStatus::Done)
    }

    /// Outcome with the given exit status.
    pub fn with_status(report: impl Report + 'static, status: ExitStatus) -> Self {
        Self {
            report: Box::new(report),
            status,
        }
    }
}
