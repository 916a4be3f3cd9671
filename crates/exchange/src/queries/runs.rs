//! What is known about a request's attempts.

use crate::{NotRunProof, RunCertainty, RunRecord};

/// Whether it is certain that none of the attempts was run.
pub fn certainty(record: &RunRecord) -> RunCertainty {
    if record.unproven.is_empty() {
        RunCertainty::NotRun(NotRunProof::new())
    } else {
        RunCertainty::MayHaveRun
    }
}

/// Number of attempts that may have run or may still run.
pub fn unproven_count(record: &RunRecord) -> u32 {
    u32::try_from(record.unproven.len()).unwrap_or(u32::MAX)
}
