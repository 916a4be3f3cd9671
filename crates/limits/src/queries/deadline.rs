//! When admission must be looked at again.

use base::prelude::*;

use crate::AdmissionState;

/// First instant at which a waiting call can no longer start.
pub fn next_deadline(state: &AdmissionState) -> Option<ClockTime> {
    let first = state.deadlines.first();
    first.map(|&(deadline, _)| deadline + Duration::from_micros(1))
}
