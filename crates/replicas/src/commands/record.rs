//! Updates of the group record from the store.

use base::prelude::*;

use crate::{GroupRecord, PlannerState};

/// Delay before a failed write is repeated.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Outcome of a write of the record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// Stored under this version.
    Written(ObjectVersion),
    /// The stored record has another version.
    Conflict,
    /// No response: it may or may not be stored.
    Unknown,
    /// Not stored.
    Failed,
}

/// Replaces the record unless the version is known already or older.
///
/// Returns whether the record was replaced.
pub fn update_record(
    state: &mut PlannerState,
    record: Arc<GroupRecord>,
    version: ObjectVersion,
    now: ClockTime,
) -> bool {
    if state.version.is_some_and(|present| present >= version) {
        return false;
    }
    if record.owner.as_ref() != Some(&state.node) {
        // Another owner took over; its epochs are higher than the ones reserved here.
        state.epochs = 0..0;
    }
    state.record = record;
    state.record_received_at = now;
    state.version = Some(version);
    true
}

/// Records that the store has no record yet.
pub fn record_missing(state: &mut PlannerState) {
    state.version.get_or_insert(ObjectVersion::default());
}

/// Records the outcome of a write; returns whether the record was replaced.
///
/// After an unknown outcome the stored version decides, once it is read.
pub fn record_write_outcome(
    state: &mut PlannerState,
    outcome: WriteOutcome,
    now: ClockTime,
) -> bool {
    let Some(record) = state.pending_record.take() else {
        return false;
    };
    let requested = std::mem::replace(&mut state.requested_epochs, 0..0);
    match outcome {
        WriteOutcome::Written(version) => {
            let is_new = update_record(state, record, version, now);
            if is_new && !requested.is_empty() {
                state.epochs = requested;
            }
            is_new
        }
        WriteOutcome::Conflict | WriteOutcome::Unknown | WriteOutcome::Failed => {
            state.next_write_at = now + WRITE_RETRY_DELAY;
            false
        }
    }
}
