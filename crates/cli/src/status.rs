//! Exit status for scripts.

use std::process::ExitCode;

/// How a run ended; the number is the process's exit status.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitStatus {
    /// Done.
    Done = 0,
    /// Failed in a way that has no status of its own.
    Failed = 1,
    /// The document or the arguments have faults.
    Faulty = 2,
    /// Not yet in force everywhere.
    Pending = 3,
    /// Somebody else changed the section first.
    Conflict = 4,
    /// The platform gave no answer.
    Unavailable = 5,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status as u8)
    }
}
