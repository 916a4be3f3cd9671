//! Reports asked of endpoints, and what their silence means.

use std::collections::BTreeSet;

use base::prelude::*;

use super::list::learn_model;
use crate::queries::is_member;
use crate::{GroupPhase, PlanEffect, PlannerState, ReportOutcome};

/// Pause between two questions to an endpoint that is probe_group.
const SUSPECT_PAUSE: Duration = Duration::from_millis(250);

/// Takes in how a question ended.
pub fn record_report(
    state: &mut PlannerState,
    id: &HostName,
    outcome: ReportOutcome,
    now: ClockTime,
) {
    let settings = state.settings.clone();
    let Some(view) = state.endpoints.get_mut(id) else {
        return;
    };
    view.probe.is_asked = false;
    match outcome {
        ReportOutcome::NoResponse => {
            view.probe.misses += 1;
            if view.probe.misses >= settings.miss_limit {
                view.is_lost = true;
                view.probe.due = now + settings.silent_probe_period;
            } else {
                view.probe.due = now;
            }
        }
        ReportOutcome::Unreadable => {
            view.probe.misses = 0;
            view.is_lost = false;
            view.probe.due = now + settings.probe_period;
        }
        ReportOutcome::Received(report) => {
            view.probe.misses = 0;
            view.is_lost = false;
            view.probe.due = now + settings.probe_period;
            view.reported_at = Some(now);
            view.latency_factor = report.latency_factor;
            if report.incarnation != view.endpoint.incarnation {
                // It started again; the list will say so, and until then it has no group.
                view.endpoint.incarnation = report.incarnation;
                view.last_model = None;
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
            learn_model(state, id);
        }
    }
}

/// Asks an endpoint again, because it isn't known whether it gave an answer.
pub fn retry_probe(state: &mut PlannerState, id: &HostName, now: ClockTime) {
    if let Some(view) = state.endpoints.get_mut(id) {
        view.probe.is_asked = false;
        view.probe.due = now;
    }
}

/// Asks the members of a head's group at once, because the head went silent.
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
            let rested = view
                .probe
                .asked_at
                .is_none_or(|at| now.since(at) >= SUSPECT_PAUSE);
            if !view.is_lost && rested {
                view.probe.due = view.probe.due.min(now);
            }
        }
    }
}

/// Asks heads often for a while, because this node has just become the owner.
///
/// Where all nodes were lost at once, engines still work on what those had sent.
pub fn probe_heads_often(state: &mut PlannerState, now: ClockTime) {
    state.heads_until = now + state.settings.head_span;
}

/// Members of serving groups that were last heard to be elsewhere.
fn doubtful_members(state: &PlannerState) -> BTreeSet<HostName> {
    let groups = state.record.groups.iter();
    let serving = groups.filter(|group| group.phase != GroupPhase::Forming);
    let members = serving.flat_map(|group| group.members.iter().map(move |member| (group, member)));
    let doubtful = members.filter(|(group, member)| {
        let view = state.endpoints.get(&member.id);
        view.is_some_and(|view| !is_member(view, group))
    });
    doubtful.map(|(_, member)| member.id.clone()).collect()
}

/// Asks every endpoint whose time has come.
pub(super) fn ask_due(state: &mut PlannerState, now: ClockTime) -> Vec<PlanEffect> {
    let mut forming = BTreeSet::new();
    for group in &state.record.groups {
        if group.phase == GroupPhase::Forming {
            forming.extend(group.members.iter().map(|member| member.id.clone()));
        }
    }
    let mut watched = BTreeSet::new();
    if now < state.heads_until {
        let serving = state.record.groups.iter();
        let serving = serving.filter(|group| group.phase == GroupPhase::Serving);
        watched.extend(serving.map(|group| group.head().id.clone()));
    }
    let period = state.settings.forming_probe_period;
    let head_period = state.settings.head_probe_period;
    let doubtful = doubtful_members(state);
    let mut effects = Vec::new();
    for (id, view) in &mut state.endpoints {
        let rested = view
            .probe
            .asked_at
            .is_none_or(|at| now.since(at) >= SUSPECT_PAUSE);
        if rested && doubtful.contains(id) {
            view.probe.due = view.probe.due.min(now);
        }
        if view.endpoint.fabric.is_none() || view.probe.is_asked {
            continue;
        }
        if forming.contains(id) && !view.is_lost {
            view.probe.due = view.probe.due.min(now + period);
        }
        if watched.contains(id) && !view.is_lost {
            let last = view.probe.asked_at.unwrap_or_default();
            view.probe.due = view.probe.due.min(last + head_period);
        }
        if view.probe.due <= now {
            view.probe.is_asked = true;
            view.probe.asked_at = Some(now);
            effects.push(PlanEffect::Probe(id.clone()));
        }
    }
    effects
}
