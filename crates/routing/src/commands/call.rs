//! Start and end of this node's calls.

use base::prelude::*;

use crate::{RoutingState, TargetId};

/// Records that a call is sent to a target; a further attempt replaces the previous one.
pub fn begin(state: &mut RoutingState, call: CallId, target: &TargetId) {
    finish(state, call);
    state.calls.insert(call, target.clone());
    if let Some(target) = state.targets.get_mut(target) {
        target.local_calls += 1;
    }
}

/// Records the end of a call, whatever its outcome.
pub fn finish(state: &mut RoutingState, call: CallId) {
    let target = state.calls.remove(&call);
    if let Some(target) = target.and_then(|target| state.targets.get_mut(&target)) {
        target.local_calls = target.local_calls.saturating_sub(1);
    }
}
