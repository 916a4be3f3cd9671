//! Whether this node reaches servers, and nodes that pass its requests on if it doesn't.

use std::net::SocketAddr;

use base::prelude::*;
use reach::ReachChange;
use reach::commands::{exclude_node, record_response, repeat_trial, start_trial};
use reach::queries::{choose_node, is_cut_off, is_doubtful};
use relay::{AttemptId, CallStep, SendOrder, SendTarget, StallCause, StallStep};
use replicas::commands::retry_probe;
use replicas::{Presence, ProbeOutcome};

use super::plan::handle_report_outcome;
use crate::queries::{is_cut_off_alone, pass_candidates};
use crate::state::PassedAttempt;
use crate::{EdgeEffect, EdgeState};

/// Interval between checks of a request that waits for a server that this node doesn't reach.
const STRANDED_CHECK_INTERVAL: Duration = Duration::from_millis(60);
/// Nodes that are asked to pass one attempt on.
const MAX_REFUSALS: u32 = 10;

/// Records that a server did not respond to this node.
pub(super) fn record_trouble(state: &mut EdgeState, server: &HostName, now: ClockTime) {
    let known = state.targets.len();
    reach::commands::record_trouble(&mut state.reach, server, known, now);
}

/// Has another node pass an attempt on if this node is cut off.
pub(super) fn route_attempt(state: &mut EdgeState, step: CallStep, now: ClockTime) -> CallStep {
    match step {
        CallStep::Send(order) => {
            state.passed.remove(&order.attempt);
            match is_cut_off(&state.reach) {
                true => CallStep::Send(pass_on(state, order, 0, now)),
                false => CallStep::Send(order),
            }
        }
        step => step,
    }
}

/// Asks another node after one that did not pass an attempt on; `None` if there is none.
pub(super) fn pass_elsewhere(
    state: &mut EdgeState,
    attempt: AttemptId,
    now: ClockTime,
) -> Option<CallStep> {
    let passed = state.passed.remove(&attempt)?;
    exclude_node(&mut state.reach, passed.node, now);
    let refusals = passed.refusals + 1;
    let target = &passed.order.target;
    let is_withheld = !relay::queries::may_send(&state.relay, attempt);
    if refusals >= MAX_REFUSALS || is_withheld || relay::queries::is_evacuated(&state.relay, target)
    {
        return None;
    }
    let order = pass_on(state, passed.order, refusals, now);
    // A direct attempt would only fail.
    let is_passed = state.passed.contains_key(&attempt);
    is_passed.then_some(CallStep::Send(order))
}

/// Has another node pass an order on; without one it stays as it is.
fn pass_on(
    state: &mut EdgeState,
    mut order: SendOrder,
    refusals: u32,
    now: ClockTime,
) -> SendOrder {
    let passing = choose_passing(state, now);
    order.via = passing.as_ref().map(|(_, via)| *via);
    if let Some((node, _)) = passing {
        let passed = PassedAttempt {
            order: order.clone(),
            node,
            refusals,
        };
        state.passed.insert(order.attempt, passed);
    }
    order
}

/// Node that can pass a request on, and its address for that.
fn choose_passing(state: &mut EdgeState, now: ClockTime) -> Option<(NodeName, SocketAddr)> {
    state.random_state = state
        .random_state
        .wrapping_mul(6_364_136_223_846_793_005)
        .wrapping_add(1);
    let candidates = pass_candidates(state, now);
    let node = choose_node(&state.reach, &candidates, state.random_state >> 33, now)?;
    let via = state.peers.get(&node)?.passing?;
    Some((node, via))
}

/// Starts the trial that is due.
pub(crate) fn start_trials(state: &mut EdgeState, now: ClockTime) -> Vec<EdgeEffect> {
    if reach::queries::next_trial(&state.reach).is_none_or(|due| due > now) {
        return Vec::new();
    }
    let addresses = trial_addresses(state);
    let mut servers: Vec<_> = addresses.iter().map(|(server, _)| server.clone()).collect();
    shuffle(&mut servers, &mut state.random_state);
    let chosen = start_trial(&mut state.reach, &servers, now);
    let effects = chosen.into_iter().filter_map(|server| {
        let (_, address) = addresses.iter().find(|(other, _)| *other == server)?;
        Some(EdgeEffect::Try {
            server,
            address: *address,
        })
    });
    effects.collect()
}

/// Servers that a trial could connect to: heads of groups, which respond without a free slot;
/// else plain servers; else all that are listed.
fn trial_addresses(state: &EdgeState) -> Vec<(HostName, SocketAddr)> {
    let is_engine = |target: &&SendTarget| target.model.is_some();
    let has_engines = state.targets.iter().any(|target| is_engine(&target));
    let targets = state.targets.iter();
    let targets = targets.filter(|target| is_engine(target) == has_engines);
    let targets: Vec<_> = targets
        .map(|target| (target.id.clone(), target.address))
        .collect();
    if !targets.is_empty() {
        return targets;
    }
    let views = state.planner.endpoints().values();
    let ready = views.filter(|view| view.endpoint.presence == Presence::Ready);
    ready
        .map(|view| (view.endpoint.id.clone(), view.endpoint.address))
        .collect()
}

fn shuffle(servers: &mut [HostName], random_state: &mut u64) {
    for index in (1..servers.len()).rev() {
        *random_state = random_state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        let other = (*random_state >> 33) % (index as u64 + 1);
        servers.swap(index, usize::try_from(other).unwrap_or(0));
    }
}

/// Handles the outcome of a trial at one server.
pub(crate) fn handle_trial_outcome(
    state: &mut EdgeState,
    server: &HostName,
    is_reached: bool,
    now: ClockTime,
) -> Vec<EdgeEffect> {
    let lag_age = state.last_lag_at.map(|at| now.since(at));
    if !is_reached && lag_age.is_some_and(|age| age < state.times.lag_window) {
        // The connection may have been opened in time, but this node was overloaded.
        repeat_trial(&mut state.reach, now);
        return Vec::new();
    }
    let Some(change) = record_response(&mut state.reach, server, is_reached, now) else {
        return Vec::new();
    };
    match change {
        ReachChange::Dismissed => {
            log::debug!("several servers do not respond, others do");
            let held = std::mem::take(&mut state.held_probes).into_iter();
            held.flat_map(|server| {
                handle_report_outcome(state, &server, ProbeOutcome::NoResponse, now)
            })
            .collect()
        }
        ReachChange::CutOff => {
            log::warn!("no server reached; other nodes pass requests on");
            state.silent_heads.clear();
            state.reach_compared_at = now + state.times.peer_timeout;
            change_reach(state, "cut-off", now)
        }
        ReachChange::Restored => {
            log::info!("servers reached again");
            change_reach(state, "restored", now)
        }
    }
}

/// Forgets what this node took for failures of servers, and tells the other nodes.
fn change_reach(state: &mut EdgeState, label: &'static str, now: ClockTime) -> Vec<EdgeEffect> {
    relay::commands::forgive_targets(&mut state.relay);
    for server in std::mem::take(&mut state.held_probes) {
        retry_probe(&mut state.planner, &server, now);
    }
    state.digest_due = now;
    vec![EdgeEffect::CountReach(label)]
}

/// Whether what this node sees of servers says nothing about them: it may be cut off, or it is
/// and other nodes are not.
pub(super) fn is_untrusted(state: &EdgeState, now: ClockTime) -> bool {
    let is_suspected = is_doubtful(&state.reach) && !is_cut_off(&state.reach);
    is_suspected || is_cut_off_alone(state, now)
}

/// Whether an attempt waits for a server that this node doesn't reach, although the request may
/// be sent again by way of another node.
pub(super) fn is_stranded(state: &EdgeState, attempt: AttemptId) -> bool {
    is_cut_off(&state.reach)
        && !state.passed.contains_key(&attempt)
        && relay::queries::is_repeatable(&state.relay, attempt.call)
}

/// Has another node send a request of a server that this node doesn't reach.
///
/// If that is not possible, a request whose answer has begun waits for its server, and so does
/// every request if no node reaches servers, as these may be silent for a moment only. Any other
/// is refused as soon as the other nodes have had the time to say so, and its client can turn to
/// one that reaches servers.
pub(super) fn leave_stranded(
    state: &mut EdgeState,
    attempt: AttemptId,
    is_answering: bool,
    now: ClockTime,
) -> StallStep {
    if choose_passing(state, now).is_some()
        && let Some(StallStep::Move(cause, order)) =
            relay::commands::move_call(&mut state.relay, attempt, StallCause::CutOff, now)
    {
        let order = pass_on(state, *order, 0, now);
        return StallStep::Move(cause, Box::new(order));
    }
    let is_alone = is_cut_off_alone(state, now) && now >= state.reach_compared_at;
    if !is_answering && is_alone {
        return StallStep::Abort(StallCause::CutOff);
    }
    StallStep::Wait {
        until: now + STRANDED_CHECK_INTERVAL,
    }
}
