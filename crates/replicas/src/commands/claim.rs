//! Claim of the groups by a new owner.
//!
//! A new owner may know an old record and an old list of endpoints, from before its connections to
//! the store went silent. It first writes the record, with a block of epochs of its own and
//! without any other change: a stale owner fails, and what other owners are still writing fails
//! from then on. A list of endpoints that is newer than this claim shows what they did before.

use base::prelude::*;

use super::placement::forget_placement;
use super::plan::reserve_epochs;
use super::probes::start_due_probes;
use crate::{GroupRecord, PlanEffect, PlannerState};

/// Begins to own the groups: epochs of an earlier ownership are not used any more.
pub fn begin_ownership(state: &mut PlannerState) {
    state.epochs = 0..0;
    state.claimed_version = None;
    forget_placement(state);
}

/// Runs a pass that claims the groups and changes nothing else.
pub fn claim(state: &mut PlannerState, now: ClockTime) -> Vec<PlanEffect> {
    let mut effects = Vec::new();
    if let Some(version) = state.version
        && state.pending_record.is_none()
        && state.next_write_at <= now
    {
        let mut draft = GroupRecord::clone(&state.record);
        reserve_epochs(state, &mut draft, version);
        draft.owner = Some(state.node.clone());
        let record = Arc::new(draft);
        state.pending_record = Some(record.clone());
        effects.push(PlanEffect::Write {
            record,
            expected: version,
        });
    }
    effects.extend(start_due_probes(state, now));
    effects
}
