//! Selection of a target for one call.

use base::prelude::*;
use twox_hash::XxHash64;

use super::score::{LoadAverage, count_missing, score_target};
use crate::state::TargetState;
use crate::{BlockHash, RoutingState, TargetId, TargetSpec};

/// Call for which a target is to be chosen.
#[derive(Clone, Copy, Debug)]
pub struct RouteQuery<'a> {
    /// Number of the call; seeds the random candidates.
    pub call: CallId,
    /// Hashes of the prompt's blocks.
    pub prefix: &'a [BlockHash],
    /// Targets that must not be chosen, such as those on which the call has failed.
    pub excluded: &'a [TargetId],
}

/// Target chosen for a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteChoice {
    /// Target that receives the call.
    pub target: TargetId,
    /// Number of leading blocks of the prompt that are known to be cached there.
    pub cached_blocks: usize,
}

/// Best of a few candidates; `None` if no target can take the call.
pub fn choose(state: &RoutingState, now: ClockTime, query: &RouteQuery) -> Option<RouteChoice> {
    let open = prefer_parts(state, list_open(state, query));
    let average = LoadAverage::of(state, now);
    let preferred = pick_affinity_targets(state, query, &open);
    let candidates = pick_candidates(state, query, &open, &preferred);
    let scored = candidates.into_iter().map(|index| {
        let target = open[index];
        let blocks = count_missing(state, target, query.prefix, preferred.contains(&index));
        let score = score_target(state, target, blocks, &average, now);
        (score + jitter(state, query.call, &target.spec), target)
    });
    let best = scored.min_by(|left, right| left.0.total_cmp(&right.0));
    best.map(|(_, target)| RouteChoice {
        target: target.spec.target.clone(),
        cached_blocks: target.cache.count_cached(query.prefix),
    })
}

/// Random cost with a Gumbel distribution, which makes the choice a soft minimum:
/// targets with similar scores share the calls, and clear differences decide.
///
/// The more nodes share a target's slots, the less a node's local calls show of its
/// load, and the larger the cost that keeps the nodes from choosing the same target.
fn jitter(state: &RoutingState, call: CallId, target: &TargetSpec) -> f64 {
    let name = target.target.as_str();
    let draw = XxHash64::oneshot(state.salt ^ call.0, name.as_bytes());
    let unit = (draw as f64 + 0.5) / 2.0_f64.powi(64);
    let scale = state.settings.jitter_cost.as_secs_f64() / state.even_part(target).max(1.0);
    scale * (-unit.ln()).ln()
}

/// Targets that can take the call.
fn list_open<'a>(state: &'a RoutingState, query: &RouteQuery) -> Vec<&'a TargetState> {
    let open = state.targets.values().filter(|target| {
        target.local_calls < target.spec.slots
            && !state.is_leaving(&target.spec)
            && !query.excluded.contains(&target.spec.target)
    });
    open.collect()
}

/// Targets at which this node is below its part of the slots; all if there are none.
fn prefer_parts<'a>(state: &RoutingState, open: Vec<&'a TargetState>) -> Vec<&'a TargetState> {
    let below = open.iter().copied();
    let below = below.filter(|target| target.local_calls < state.rounded_part(&target.spec));
    let below: Vec<&TargetState> = below.collect();
    if below.is_empty() { open } else { below }
}

/// Distinct candidates, the preferred ones by affinity first; the first of equal score wins.
fn pick_candidates(
    state: &RoutingState,
    query: &RouteQuery,
    open: &[&TargetState],
    preferred: &[usize],
) -> Vec<usize> {
    let mut picked = preferred.to_vec();
    let random = pick_random(state, query, open.len()).into_iter();
    for index in random.chain(pick_cached(query, open)) {
        if !picked.contains(&index) {
            picked.push(index);
        }
    }
    picked
}

/// Distinct targets, drawn from the call's number and the node's salt.
fn pick_random(state: &RoutingState, query: &RouteQuery, count: usize) -> Vec<usize> {
    let count_limit = state.settings.random_choices.min(count);
    let mut picked = Vec::with_capacity(count_limit);
    let mut draw = state.salt;
    while picked.len() < count_limit {
        draw = XxHash64::oneshot(draw, &query.call.0.to_le_bytes());
        let index = (draw % count as u64) as usize;
        if !picked.contains(&index) {
            picked.push(index);
        }
    }
    picked
}

/// Targets by rendezvous hashing of the prefix, the same ones on all nodes.
fn pick_affinity_targets(
    state: &RoutingState,
    query: &RouteQuery,
    open: &[&TargetState],
) -> Vec<usize> {
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

/// Target known to have most leading blocks of the prefix cached.
fn pick_cached(query: &RouteQuery, open: &[&TargetState]) -> Option<usize> {
    let mut best = None;
    let mut most = 0;
    for (index, target) in open.iter().enumerate() {
        // Only a target with the next block cached can have more of them.
        let Some(next) = query.prefix.get(most) else {
            break;
        };
        if !target.cache.contains(next) {
            continue;
        }
        let cached = target.cache.count_cached(query.prefix);
        if cached > most {
            most = cached;
            best = Some(index);
        }
    }
    best
}
