//! Choice of a target for one call.

use base::prelude::*;
use twox_hash::XxHash64;

use super::score::{LoadAverage, count_missing, score_target};
use crate::state::TargetState;
use crate::{BlockHash, RoutingState, TargetId, TargetSpec};

/// Call that looks for a target.
#[derive(Clone, Copy, Debug)]
pub struct RouteQuery<'a> {
    /// Call it is about; decides the random candidates.
    pub call: CallId,
    /// Hashes of the prompt's blocks.
    pub prefix: &'a [BlockHash],
    /// Targets that must not be chosen, such as those that failed this call.
    pub excluded: &'a [TargetId],
}

/// Target chosen for a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteChoice {
    /// Target to send it to.
    pub target: TargetId,
    /// Leading blocks of the prompt that are known to be cached there.
    pub cached_blocks: usize,
}

/// Best of a few candidates; none if no target may take the call.
pub fn choose(state: &RoutingState, now: ClockTime, query: &RouteQuery) -> Option<RouteChoice> {
    let open = prefer_parts(state, list_open(state, query));
    let average = LoadAverage::of(state, now);
    let affine = pick_affine(state, query, &open);
    let candidates = pick_candidates(state, query, &open, &affine);
    let scored = candidates.into_iter().map(|index| {
        let target = open[index];
        let blocks = count_missing(state, target, query.prefix, affine.contains(&index));
        let score = score_target(state, target, blocks, &average, now);
        (score + spread(state, query.call, &target.spec), target)
    });
    let best = scored.min_by(|left, right| left.0.total_cmp(&right.0));
    best.map(|(_, target)| RouteChoice {
        target: target.spec.target.clone(),
        cached_blocks: target.cache.count_known(query.prefix),
    })
}

/// Random cost by Gumbel's law, which makes the choice a soft minimum: close
/// scores share the calls, and clear differences decide. The more nodes share
/// a target's slots, the less a node's own calls tell, and the more it takes to
/// keep the nodes from choosing alike.
fn spread(state: &RoutingState, call: CallId, target: &TargetSpec) -> f64 {
    let name = target.target.as_str();
    let draw = XxHash64::oneshot(state.salt ^ call.0, name.as_bytes());
    let unit = (draw as f64 + 0.5) / 2.0_f64.powi(64);
    let scale = state.settings.jitter_cost.as_secs_f64() / state.even_part(target).max(1.0);
    scale * (-unit.ln()).ln()
}

/// Targets that may take the call.
fn list_open<'a>(state: &'a RoutingState, query: &RouteQuery) -> Vec<&'a TargetState> {
    let open = state.targets.values().filter(|target| {
        target.local_calls < target.spec.slots
            && !state.is_leaving(&target.spec)
            && !query.excluded.contains(&target.spec.target)
    });
    open.collect()
}

/// Targets where this node is below its part, or all if there is none.
fn prefer_parts<'a>(state: &RoutingState, open: Vec<&'a TargetState>) -> Vec<&'a TargetState> {
    let below = open.iter().copied();
    let below = below.filter(|target| target.local_calls < state.part(&target.spec));
    let below: Vec<&TargetState> = below.collect();
    if below.is_empty() { open } else { below }
}

/// Different candidates; among equals the first one wins.
fn pick_candidates(
    state: &RoutingState,
    query: &RouteQuery,
    open: &[&TargetState],
    affine: &[usize],
) -> Vec<usize> {
    let mut picked = affine.to_vec();
    let others = pick_random(state, query, open.len()).into_iter();
    for index in others.chain(pick_cached(query, open)) {
        if !picked.contains(&index) {
            picked.push(index);
        }
    }
    picked
}

/// Different targets drawn by the call's number and the node's salt.
fn pick_random(state: &RoutingState, query: &RouteQuery, count: usize) -> Vec<usize> {
    let wanted = state.settings.random_choices.min(count);
    let mut picked = Vec::with_capacity(wanted);
    let mut draw = state.salt;
    while picked.len() < wanted {
        draw = XxHash64::oneshot(draw, &query.call.0.to_le_bytes());
        let index = (draw % count as u64) as usize;
        if !picked.contains(&index) {
            picked.push(index);
        }
    }
    picked
}

/// Targets that all nodes find alike for a prefix, by rendezvous hashing.
fn pick_affine(state: &RoutingState, query: &RouteQuery, open: &[&TargetState]) -> Vec<usize> {
    let depth = query.prefix.len().min(state.settings.affinity_blocks);
    let Some(key) = query.prefix[..depth].last() else {
        return Vec::new();
    };
    let ranked = open.iter().enumerate().map(|(index, target)| {
        let name = target.spec.target.as_str();
        (XxHash64::oneshot(key.0, name.as_bytes()), index)
    });
    let mut ranked: Vec<(u64, usize)> = ranked.collect();
    ranked.sort_unstable();
    ranked.truncate(state.settings.affinity_choices);
    ranked.into_iter().map(|(_, index)| index).collect()
}

/// Target known to hold most of the prefix.
fn pick_cached(query: &RouteQuery, open: &[&TargetState]) -> Option<usize> {
    let mut best = None;
    let mut most = 0;
    for (index, target) in open.iter().enumerate() {
        // Only a target that knows the next block can have more of them.
        let Some(next) = query.prefix.get(most) else {
            break;
        };
        if !target.cache.knows(next) {
            continue;
        }
        let known = target.cache.count_known(query.prefix);
        if known > most {
            most = known;
            best = Some(index);
        }
    }
    best
}
