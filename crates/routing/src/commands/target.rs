//! Changes of the list of targets.

use base::prelude::*;

use crate::state::{LeavingMark, TargetState};
use crate::{RoutingState, TargetId, TargetSpec};

/// Replaces the targets; one that is leaving stays so until its incarnation changes.
pub fn set_targets(state: &mut RoutingState, specs: Vec<TargetSpec>, now: ClockTime) {
    let mut previous = std::mem::take(&mut state.targets);
    for spec in specs {
        let local_calls = state
            .calls
            .values()
            .flatten()
            .filter(|target| **target == spec.target);
        let local_calls = local_calls.count();
        let existing = previous.remove(&spec.target);
        let target = match existing.filter(|other| other.spec.incarnation == spec.incarnation) {
            Some(existing) => TargetState { spec, ..existing },
            None => TargetState::new(spec, local_calls),
        };
        state.targets.insert(target.spec.target.clone(), target);
    }
    remove_expired_marks(state, now);
}

/// Sets the number of live nodes that share the targets, this one included.
pub fn set_node_count(state: &mut RoutingState, nodes: usize) {
    state.nodes = nodes;
}

/// Marks the present incarnation of a target as leaving, so that it gets no new calls.
pub fn mark_leaving(state: &mut RoutingState, target: &TargetId, now: ClockTime) {
    let Some(target_state) = state.targets.get(target) else {
        return;
    };
    let mark = LeavingMark {
        incarnation: target_state.spec.incarnation,
        expires: now + state.settings.leaving_retention,
    };
    state.leaving.insert(target.clone(), mark);
}

/// Removes the marks of targets that have restarted or have been absent for the retention period.
fn remove_expired_marks(state: &mut RoutingState, now: ClockTime) {
    let targets = &state.targets;
    state
        .leaving
        .retain(|target, mark| match targets.get(target) {
            Some(target) => target.spec.incarnation == mark.incarnation,
            None => mark.expires > now,
        });
}
