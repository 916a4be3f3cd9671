//! Load of a service and its calls.

use base::prelude::*;

use crate::{RoutingState, TargetId};

/// Load of those targets of a service that take new calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServiceLoad {
    /// Number of slots of all targets.
    pub slots: usize,
    /// Number of slots of the targets that have reported their load.
    pub reported_slots: usize,
    /// Number of running and waiting calls that these targets reported.
    pub reported_calls: usize,
    /// Number of running calls of this node.
    pub local_calls: usize,
}

/// Sums the load of the targets that take new calls.
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

/// Number of running calls of this node at one target.
pub fn count_local(state: &RoutingState, target: &TargetId) -> usize {
    state
        .calls
        .values()
        .flatten()
        .filter(|other| *other == target)
        .count()
}

/// Latest target of a running call.
pub fn find_target(state: &RoutingState, call: CallId) -> Option<&TargetId> {
    state.calls.get(&call)?.last()
}
