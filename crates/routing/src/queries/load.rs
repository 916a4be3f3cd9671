//! Load of a whole service.

use base::prelude::*;

use crate::{RoutingState, TargetId};

/// Slots and calls of a service's targets that take new calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServiceLoad {
    /// Slots of all targets.
    pub slots: usize,
    /// Slots of the targets that have reported.
    pub reported_slots: usize,
    /// Calls that they reported, running or waiting.
    pub reported_calls: usize,
    /// Calls of this node.
    pub local_calls: usize,
}

/// Load of the targets that take new calls.
pub fn sum_load(state: &RoutingState) -> ServiceLoad {
    let mut sum = ServiceLoad::default();
    for target in state.targets.values() {
        if state.is_leaving(&target.spec) {
            continue;
        }
        sum.slots += target.spec.slots;
        sum.local_calls += target.local_calls;
        if let Some(load) = target.load {
            sum.reported_slots += target.spec.slots;
            sum.reported_calls += (load.sample.running + load.sample.waiting) as usize;
        }
    }
    sum
}

/// Calls of this node under way at one target.
pub fn count_local(state: &RoutingState, target: &TargetId) -> usize {
    state
        .calls
        .values()
        .filter(|other| *other == target)
        .count()
}

/// Target of a call under way.
pub fn find_target(state: &RoutingState, call: CallId) -> Option<&TargetId> {
    state.calls.get(&call)
}
