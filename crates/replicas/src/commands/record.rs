//! Takes in the record as the store has it.

use base::prelude::*;

use crate::{GroupRecord, PlannerState};

/// Pause after a write that failed.
const WRITE_PAUSE: Duration = Duration::from_millis(200);

/// How a write of the record ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It is in the store under this version.
    Written(ObjectVersion),
    /// The store has another version.
    Conflict,
    /// It may or may not be in the store.
    Unknown,
    /// It is not in the store.
    Failed,
}

/// Takes in a version of the record; an older one is ignored.
///
/// Returns whether it is new.
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
        // Another owner took over: the epochs left are below those it uses.
        state.epochs = 0..0;
    }
    state.record = record;
    state.record_at = now;
    state.version = Some(version);
    true
}

/// Takes in that the store has no record.
pub fn record_missing(state: &mut PlannerState) {
    state.version.get_or_insert(ObjectVersion::default());
}

/// Takes in how a write ended; returns whether the record is new.
///
/// After an unclear end the store's own version decides, once it is read.
pub fn record_write_outcome(
    state: &mut PlannerState,
    outcome: WriteOutcome,
    now: ClockTime,
) -> bool {
    let Some(record) = state.writing.take() else {
        return false;
    };
    let asked = std::mem::replace(&mut state.epochs_asked, 0..0);
    match outcome {
        WriteOutcome::Written(version) => {
            let is_new = update_record(state, record, version, now);
            if is_new && !asked.is_empty() {
                state.epochs = asked;
            }
            is_new
        }
        WriteOutcome::Conflict | WriteOutcome::Unknown | WriteOutcome::Failed => {
            state.write_at = now + WRITE_PAUSE;
            false
        }
    }
}
