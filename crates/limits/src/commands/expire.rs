//! Deadlines of waiting calls.

use base::prelude::*;

use super::refuse::refuse_queued;
use super::start::start_queued;
use crate::{AdmissionRefusalReason, AdmissionState, QueueChange};

/// Refuses waiting calls whose deadline has passed and starts those that can run.
pub fn expire(state: &mut AdmissionState, now: ClockTime) -> QueueChange {
    let mut refused = Vec::new();
    while let Some(&(deadline, call)) = state.deadlines.first() {
        if deadline >= now {
            break;
        }
        refused.extend(refuse_queued(
            state,
            call,
            AdmissionRefusalReason::Deadline,
            now,
        ));
    }
    let admitted = start_queued(state, now);
    QueueChange { admitted, refused }
}
