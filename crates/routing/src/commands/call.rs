//! Start and end of this node's calls.

use base::prelude::*;

use crate::{RoutingState, TargetId};

/// Records that a call is sent to a target; a further attempt replaces the previous ones.
pub fn begin(state: &mut RoutingState, call: CallId, target: &TargetId) {
    finish(state, call);
    begin_beside(state, call, target);
}

/// Records that a call is sent to a target while its previous attempts stay open.
pub fn begin_beside(state: &mut RoutingState, call: CallId, target: &TargetId) {
    let targets = state.calls.entry(call).or_default();
    targets.push(target.clone());
    if let Some(target) = state.targets.get_mut(target) {
        target.local_calls += 1;
    }
}

/// Records the end of one of a call's attempts.
pub fn finish_attempt(state: &mut RoutingState, call: CallId, target: &TargetId) {
    let Some(targets) = state.calls.get_mut(&call) else {
        return;
    };
    let Some(position) = targets.iter().position(|other| other == target) else {
        return;
    };
    targets.remove(position);
    if targets.is_empty() {
        state.calls.remove(&call);
    }
    release_slot(state, target);
}

/// Records the end of a call, whatever its outcome.
pub fn finish(state: &mut RoutingState, call: CallId) {
    for target in state.calls.remove(&call).into_iter().flatten() {
        release_slot(state, &target);
    }
}

fn release_slot(state: &mut RoutingState, target: &TargetId) {
    if let Some(target) = state.targets.get_mut(target) {
        target.local_calls = target.local_calls.saturating_sub(1);
    }
}
