//! What targets report.

use base::prelude::*;

use crate::state::LoadView;
use crate::{CacheEvent, LoadSample, RoutingState, TargetId};

/// Takes in a load report, dated from when it was asked for.
pub fn observe_load(
    state: &mut RoutingState,
    target: &TargetId,
    sample: LoadSample,
    taken: ClockTime,
) {
    let Some(target) = state.targets.get_mut(target) else {
        return;
    };
    if target.load.is_some_and(|load| load.taken > taken) {
        return;
    }
    let all = f64::from(sample.running) + f64::from(sample.waiting);
    let others = (all - target.local_calls as f64).max(0.0);
    target.load = Some(LoadView {
        others,
        sample,
        taken,
    });
}

/// Takes in a cache event; a gap makes the target's picture unknown.
pub fn observe_cache(state: &mut RoutingState, target: &TargetId, event: CacheEvent) {
    let limit = state.settings.block_limit;
    if let Some(target) = state.targets.get_mut(target) {
        target.cache.apply(event, limit);
    }
}
