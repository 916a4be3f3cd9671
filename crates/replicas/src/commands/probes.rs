//! Probes of endpoints and their outcomes.

use std::collections::BTreeSet;

use base::prelude::*;

use super::list::update_resident_model;
use crate::queries::{ANSWER_TIMEOUT, is_member, is_silence_common, witnesses};
use crate::state::ProbeState;
use crate::{EndpointView, GroupPhase, PlanEffect, PlannerState, ProbeOutcome};

/// Least interval between probes of an endpoint under suspicion.
const SUSPECT_PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Time for which a common silence may go on between two misses that show it.
const COMMON_SILENCE_INTERVAL: Duration = Duration::from_millis(500);

/// Records the outcome of a probe.
pub fn record_probe_outcome(
    state: &mut PlannerState,
    id: &HostName,
    outcome: ProbeOutcome,
    now: ClockTime,
) {
    if outcome == ProbeOutcome::NoResponse {
        record_missed_probe(state, id, now);
        return;
    }
    let settings = state.settings.clone();
    let Some(view) = state.endpoints.get_mut(id) else {
        return;
    };
    view.is_lost = false;
    view.probe = ProbeState {
        due: now + settings.probe_interval,
        answered_at: Some(now),
        is_in_flight: false,
        missed: 0,
        silent_since: None,
        ..view.probe
    };
    match outcome {
        ProbeOutcome::NoResponse | ProbeOutcome::Unreadable => {}
        ProbeOutcome::Received(report) => {
            view.reported_at = Some(now);
            view.latency_factor = report.latency_factor;
            if report.incarnation != view.endpoint.incarnation {
                // The process has restarted and is in no group; the list shows that only later.
                view.endpoint.incarnation = report.incarnation;
                view.resident_model = None;
                view.pending = None;
            } else if view
                .endpoint
                .is_newer_than(report.sequence, report.membership.as_ref())
            {
                return;
            }
            view.endpoint.sequence = report.sequence;
            view.endpoint.membership = report.membership;
            view.endpoint.staged = report.staged;
            update_resident_model(state, id);
        }
    }
}

/// Records that an endpoint has not responded to a probe.
///
/// Endpoints that fall silent together are likely to go on in a moment, and their groups with
/// them. They count as lost only if they stay silent.
fn record_missed_probe(state: &mut PlannerState, id: &HostName, now: ClockTime) {
    let Some(view) = state.endpoints.get_mut(id) else {
        return;
    };
    view.probe.is_in_flight = false;
    view.probe.missed += 1;
    let sent_at = view.probe.probed_at.unwrap_or(now);
    let since = *view.probe.silent_since.get_or_insert(sent_at);
    let (missed, was_lost) = (view.probe.missed, view.is_lost);
    let has_missed_all = missed >= state.settings.max_missed_probes;
    let has_grace = now.since(since) < state.settings.common_silence_grace;
    let last_common = state.common_silence_at;
    let may_continue = last_common.is_some_and(|at| now.since(at) < COMMON_SILENCE_INTERVAL);
    let is_common = (has_missed_all || may_continue) && is_silence_common(state, since, now);
    if is_common {
        state.common_silence_at = Some(now);
    }
    // A probe that was sent in a common silence shows nothing, though others have answered since.
    let was_common = last_common.is_some_and(|at| sent_at <= at + ANSWER_TIMEOUT);
    let is_spared = has_missed_all && has_grace && (is_common || was_common);
    let is_lost = was_lost || has_missed_all && !is_spared;
    let interval = match (is_lost, is_spared) {
        (true, _) => state.settings.unresponsive_probe_interval,
        (false, true) => SUSPECT_PROBE_INTERVAL,
        (false, false) => Duration::ZERO,
    };
    let Some(view) = state.endpoints.get_mut(id) else {
        return;
    };
    view.is_lost = is_lost;
    view.probe.due = now + interval;
    if is_spared && !is_lost {
        log::info!(endpoint:% = id; "endpoint is silent, like most others; not taken for lost yet");
        // Others may have gone on while its last probe was in flight.
        view.probe.missed = 0;
    }
}

/// Schedules probes of other endpoints besides those of silent ones, which show whether these are
/// silent by themselves.
fn probe_witnesses(state: &mut PlannerState, now: ClockTime) {
    let mut views = state.endpoints.values();
    let is_due = |view: &EndpointView| {
        let probe = &view.probe;
        !view.is_lost && probe.silent_since.is_some() && !probe.is_in_flight && probe.due <= now
    };
    if !views.any(is_due) {
        return;
    }
    for id in witnesses(state, now) {
        if let Some(view) = state.endpoints.get_mut(&id) {
            view.probe.due = view.probe.due.min(now);
        }
    }
}

/// Schedules a new probe at once, because the outcome of the last one is unknown.
pub fn retry_probe(state: &mut PlannerState, id: &HostName, now: ClockTime) {
    if let Some(view) = state.endpoints.get_mut(id) {
        view.probe.is_in_flight = false;
        view.probe.due = now;
    }
}

/// Forgets what probes have shown, because this node stops probing.
///
/// Nothing would show it that an endpoint responds again. If it was cut off from the endpoints, it
/// would take them for lost from then on.
pub fn forget_probes(state: &mut PlannerState) {
    for view in state.endpoints.values_mut() {
        view.is_lost = false;
        view.probe.missed = 0;
        view.probe.silent_since = None;
        view.probe.is_in_flight = false;
    }
}

/// Schedules probes of a group's members at once, because its head does not respond.
pub fn probe_group(state: &mut PlannerState, head: &HostName, now: ClockTime) {
    let Some(group) = state
        .record
        .groups
        .iter()
        .find(|group| group.head().id == *head)
    else {
        return;
    };
    for member in &group.members {
        if let Some(view) = state.endpoints.get_mut(&member.id) {
            let may_probe = view
                .probe
                .probed_at
                .is_none_or(|at| now.since(at) >= SUSPECT_PROBE_INTERVAL);
            if !view.is_lost && may_probe {
                view.probe.due = view.probe.due.min(now);
            }
        }
    }
}

/// Probes heads often for a while, because this node has just become the owner.
///
/// If all nodes failed at once, engines still run the requests that those had sent.
pub fn probe_heads_often(state: &mut PlannerState, now: ClockTime) {
    state.frequent_head_probes_until = now + state.settings.head_probe_duration;
}

/// Spreads the probes that are due over one interval, because this node has just become the
/// owner.
///
/// Otherwise every endpoint would be probed at the same moment, now and after each interval,
/// and whatever delays this node's packets at one such moment would make all endpoints miss
/// the same probe.
pub fn spread_probes(state: &mut PlannerState, now: ClockTime) {
    let interval = state.settings.probe_interval;
    let count = u32::try_from(state.endpoints.len()).unwrap_or(u32::MAX);
    for (view, index) in state.endpoints.values_mut().zip(0_u32..) {
        let offset = interval.mul_f64(f64::from(index) / f64::from(count));
        view.probe.due = view.probe.due.max(now + offset);
    }
}

/// Members of serving or closing groups that are not in their group by their last known state.
fn displaced_members(state: &PlannerState) -> BTreeSet<HostName> {
    let groups = state.record.groups.iter();
    let serving = groups.filter(|group| group.phase != GroupPhase::Forming);
    let members = serving.flat_map(|group| group.members.iter().map(move |member| (group, member)));
    let displaced = members.filter(|(group, member)| {
        let view = state.endpoints.get(&member.id);
        view.is_some_and(|view| !is_member(view, group))
    });
    displaced.map(|(_, member)| member.id.clone()).collect()
}

/// Starts every probe that is due.
pub(super) fn start_due_probes(state: &mut PlannerState, now: ClockTime) -> Vec<PlanEffect> {
    probe_witnesses(state, now);
    let mut forming = BTreeSet::new();
    for group in &state.record.groups {
        if group.phase == GroupPhase::Forming {
            forming.extend(group.members.iter().map(|member| member.id.clone()));
        }
    }
    let mut frequent_heads = BTreeSet::new();
    if now < state.frequent_head_probes_until {
        let serving = state.record.groups.iter();
        let serving = serving.filter(|group| group.phase == GroupPhase::Serving);
        frequent_heads.extend(serving.map(|group| group.head().id.clone()));
    }
    let forming_interval = state.settings.forming_probe_interval;
    let head_interval = state.settings.head_probe_interval;
    let displaced = displaced_members(state);
    let mut effects = Vec::new();
    for (id, view) in &mut state.endpoints {
        let may_probe = view
            .probe
            .probed_at
            .is_none_or(|at| now.since(at) >= SUSPECT_PROBE_INTERVAL);
        if may_probe && displaced.contains(id) {
            view.probe.due = view.probe.due.min(now);
        }
        if view.endpoint.fabric.is_none() || view.probe.is_in_flight {
            continue;
        }
        if forming.contains(id) && !view.is_lost {
            view.probe.due = view.probe.due.min(now + forming_interval);
        }
        if frequent_heads.contains(id) && !view.is_lost {
            let last = view.probe.probed_at.unwrap_or_default();
            view.probe.due = view.probe.due.min(last + head_interval);
        }
        if view.probe.due <= now {
            view.probe.is_in_flight = true;
            view.probe.probed_at = Some(now);
            effects.push(PlanEffect::Probe(id.clone()));
        }
    }
    effects
}
