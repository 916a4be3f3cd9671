//! Load reports and cache events of targets.

use base::prelude::*;

use crate::state::LoadView;
use crate::{CacheEvent, LoadSample, RoutingState, TargetId};

/// Records a load report that was requested at `requested_at`.
///
/// A report that was requested earlier than the latest one is ignored.
pub fn observe_load(
    state: &mut RoutingState,
    target: &TargetId,
    sample: LoadSample,
    requested_at: ClockTime,
) {
    let Some(target) = state.targets.get_mut(target) else {
        return;
    };
    if target
        .load
        .is_some_and(|load| load.requested_at > requested_at)
    {
        return;
    }
    let all = f64::from(sample.running) + f64::from(sample.waiting);
    let other_calls = (all - target.local_calls as f64).max(0.0);
    target.load = Some(LoadView {
        other_calls,
        sample,
        requested_at,
    });
}

/// Applies a cache event; after a gap the known contents are incomplete.
pub fn observe_cache(state: &mut RoutingState, target: &TargetId, event: CacheEvent) {
    let limit = state.settings.block_limit;
    if let Some(target) = state.targets.get_mut(target) {
        target.cache.apply(event, limit);
    }
}
