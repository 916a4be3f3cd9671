//! Next deadline of the admission state.

use base::prelude::*;

use crate::AdmissionState;

/// Earliest instant at which a waiting call can no longer start; `None` if none waits.
pub fn next_deadline(state: &AdmissionState) -> Option<ClockTime> {
    let first = state.deadlines.first();
    first.map(|&(deadline, _)| deadline + Duration::from_micros(1))
}
