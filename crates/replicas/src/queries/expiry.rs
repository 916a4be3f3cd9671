//! Endpoints that the platform's list lacks after an outage of its store.
//!
//! Entries expire while the store is away and are listed again within two seconds of its
//! return. An endpoint that leaves in the same time must not be taken for one of these, as it
//! would be sent requests after its departure.

use base::prelude::*;

use crate::PlannerState;

/// Fraction of a service's endpoints that may leave at the same time.
const MAX_LEAVING_FRACTION: f64 = 0.1;

/// Whether the missing endpoints of a service have rather expired than left: several and more
/// than a tenth of those known, or all.
pub fn is_expiry_likely(missing: usize, known: usize) -> bool {
    let is_many = missing > 1 && missing as f64 > known as f64 * MAX_LEAVING_FRACTION;
    missing > 0 && (is_many || missing == known)
}

/// Instant at which the first endpoint that is no longer listed is removed; `None` if there is
/// none.
pub fn next_expiry(state: &PlannerState) -> Option<ClockTime> {
    state.expiry_due
}
