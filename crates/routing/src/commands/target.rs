//! Which targets there are.

use base::prelude::*;

use crate::state::{LeavingMark, TargetState};
use crate::{RoutingState, TargetId, TargetSpec};

/// Puts the targets in force; one that is leaving stays so in its present run.
pub fn set_targets(state: &mut RoutingState, specs: Vec<TargetSpec>, now: ClockTime) {
    let mut before = std::mem::take(&mut state.targets);
    for spec in specs {
        let own = state
            .calls
            .values()
            .filter(|target| **target == spec.target);
        let own = own.count();
        let known = before.remove(&spec.target);
        let target = match known.filter(|known| known.spec.incarnation == spec.incarnation) {
            Some(known) => TargetState { spec, ..known },
            None => TargetState::new(spec, own),
        };
        state.targets.insert(target.spec.target.clone(), target);
    }
    forget_left(state, now);
}

/// Sets how many live nodes share the targets, this one included.
pub fn set_node_count(state: &mut RoutingState, nodes: usize) {
    state.nodes = nodes;
}

/// Gives a target's present run no new calls.
pub fn mark_leaving(state: &mut RoutingState, target: &TargetId, now: ClockTime) {
    let Some(known) = state.targets.get(target) else {
        return;
    };
    let mark = LeavingMark {
        incarnation: known.spec.incarnation,
        expires: now + state.settings.leaving_memory,
    };
    state.leaving.insert(target.clone(), mark);
}

/// Forgets marks of targets that are long gone or have restarted.
fn forget_left(state: &mut RoutingState, now: ClockTime) {
    let targets = &state.targets;
    state
        .leaving
        .retain(|target, mark| match targets.get(target) {
            Some(known) => known.spec.incarnation == mark.incarnation,
            None => mark.expires > now,
        });
}
