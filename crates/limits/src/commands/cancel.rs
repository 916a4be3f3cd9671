//! Calls that their caller has cancelled.

use base::prelude::*;

use super::expire::expire;
use super::refuse::take_queued;
use super::release::free_slot;
use crate::{AdmissionState, QueueChange};

/// Removes a waiting or running call.
pub fn cancel(state: &mut AdmissionState, call: CallId, now: ClockTime) -> QueueChange {
    if take_queued(state, call).is_none() {
        free_slot(state, call);
    }
    expire(state, now)
}
