//! Exit status of the process.

use std::process::ExitCode;

/// How a command ended; the number is the exit status of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitStatus {
    /// The command succeeded.
    Done = 0,
    /// Any failure without a status of its own.
    Failed = 1,
    /// The document or the arguments have faults.
    Faulty = 2,
    /// The version is not yet in force on every daemon.
    Pending = 3,
    /// A concurrent change won.
    Conflict = 4,
    /// The platform did not answer.
    Unavailable = 5,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status as u8)
    }
}
