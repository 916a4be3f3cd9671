//! Attempts of a request.

use crate::{NotRunProof, RunRecord};

/// Records an attempt that may run from now on.
pub fn record_start(record: &mut RunRecord, attempt: u32) {
    if !record.unproven.contains(&attempt) {
        record.unproven.push(attempt);
    }
}

/// Records that an attempt was not run.
pub fn record_not_run(record: &mut RunRecord, attempt: u32, _: NotRunProof) {
    record.unproven.retain(|other| *other != attempt);
}
