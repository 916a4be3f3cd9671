//! Queries that only read the state of a node's reach.

use base::prelude::*;

use crate::state::ReachPhase;
use crate::{PassCandidate, ReachState};

/// Whether this node reaches no server.
pub fn is_cut_off(state: &ReachState) -> bool {
    matches!(state.phase, ReachPhase::CutOff { .. })
}

/// Whether what this node sees of servers says nothing about them: it is cut off, or it may be.
pub fn is_doubtful(state: &ReachState) -> bool {
    state.phase != ReachPhase::Sound
}

/// Instant at which a trial is due.
pub fn next_trial(state: &ReachState) -> Option<ClockTime> {
    state.trial_due.filter(|_| state.trial.is_none())
}

/// Node that passes a request on, chosen by a random number; `None` if there is none.
///
/// Nodes of the own failure domain come first. A request is passed on once at most, so the nodes
/// must not be cut off themselves; one that turns out to be is excluded for a while.
pub fn choose_node(
    state: &ReachState,
    candidates: &[PassCandidate],
    random: u64,
    now: ClockTime,
) -> Option<NodeName> {
    let is_usable = |candidate: &&PassCandidate| {
        let excluded_until = state.excluded.get(&candidate.node);
        excluded_until.is_none_or(|until| *until <= now)
    };
    let usable: Vec<_> = candidates.iter().filter(is_usable).collect();
    let near: Vec<_> = usable.iter().filter(|node| node.is_near).collect();
    let pick = |count: usize| usize::try_from(random % count.max(1) as u64).unwrap_or(0);
    let chosen = match near.len() {
        0 => usable.get(pick(usable.len()))?,
        count => near[pick(count)],
    };
    Some(chosen.node.clone())
}
