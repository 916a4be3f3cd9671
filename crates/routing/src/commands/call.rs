//! Calls begun and ended on this node.

use base::prelude::*;

use crate::{RoutingState, TargetId};

/// Counts a call that is sent to a target; a further attempt replaces the first.
pub fn begin(state: &mut RoutingState, call: CallId, target: &TargetId) {
    finish(state, call);
    state.calls.insert(call, target.clone());
    if let Some(target) = state.targets.get_mut(target) {
        target.local_calls += 1;
    }
}

/// Ends a call, however it ended.
pub fn finish(state: &mut RoutingState, call: CallId) {
    let target = state.calls.remove(&call);
    if let Some(target) = target.and_then(|target| state.targets.get_mut(&target)) {
        target.local_calls = target.local_calls.saturating_sub(1);
    }
}
