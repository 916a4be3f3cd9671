//! What a command or query ends in.

use crate::{ExitStatus, Report};

/// Report of a run and its exit status.
pub struct Answer {
    /// What to print.
    pub report: Box<dyn Report>,
    /// How the run ended.
    pub status: ExitStatus,
}

impl Answer {
    /// Answer of a run that did what was asked.
    pub fn done(report: impl Report + 'static) -> Self {
        Self::ending(report, ExitStatus::Done)
    }

    /// Answer with a status of its own.
    pub fn ending(report: impl Report + 'static, status: ExitStatus) -> Self {
        Self {
            report: Box::new(report),
            status,
        }
    }
}
