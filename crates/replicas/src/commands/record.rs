//! Updates of the group record from the store.

use base::prelude::*;

use super::placement::forget_placement;
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
/// A store that was restored from a copy has lost what was written since. If the given record is
/// such a copy and this node knows a later one, that one is kept, to be written again. Returns
/// whether the record was replaced.
pub fn update_record(
    state: &mut PlannerState,
    record: Arc<GroupRecord>,
    version: ObjectVersion,
    now: ClockTime,
) -> bool {
    if state.version.is_some_and(|present| present >= version) {
        return false;
    }
    let is_restored = (state.version).is_some_and(|present| present.era() < version.era());
    if is_restored && state.record != record && state.record.is_ahead_of(&record) {
        log::info!(version:% = version; "store holds an older copy of the group record; it is written again");
        keep_record(state, version);
        return false;
    }
    replace_record(state, record, version, now);
    true
}

fn replace_record(
    state: &mut PlannerState,
    record: Arc<GroupRecord>,
    version: ObjectVersion,
    now: ClockTime,
) {
    if record.owner.as_ref() != Some(&state.node) {
        // Another owner took over; its epochs are higher than the ones reserved here.
        state.epochs = 0..0;
        state.claimed_version = None;
        forget_placement(state);
    }
    state.record = record;
    state.record_received_at = now;
    state.version = Some(version);
    state.is_record_lost = false;
}

/// Keeps the record, which the store has lost and has another version of.
fn keep_record(state: &mut PlannerState, version: ObjectVersion) {
    state.version = Some(version);
    state.is_record_lost = true;
}

/// Records that the store has no record as of a version: none yet, or none any more.
pub fn record_missing(state: &mut PlannerState, at: ObjectVersion) {
    let absent = ObjectVersion::in_era(at.era(), 0);
    match state.version {
        None => state.version = Some(absent),
        Some(present) if present.era() < at.era() => {
            if *state.record == GroupRecord::default() {
                state.version = Some(absent);
            } else {
                log::info!(era = at.era(); "store has lost the group record; it is written again");
                keep_record(state, absent);
            }
        }
        Some(_) => {}
    }
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
            let is_new = state.version.is_none_or(|present| present < version);
            // The store gives no new version to what it holds already.
            state.is_record_lost = false;
            if is_new {
                replace_record(state, record, version, now);
            }
            if is_new && !requested.is_empty() {
                state.epochs = requested;
                state.claimed_version.get_or_insert(version);
            }
            is_new
        }
        WriteOutcome::Conflict | WriteOutcome::Unknown | WriteOutcome::Failed => {
            state.next_write_at = now + WRITE_RETRY_DELAY;
            false
        }
    }
}
