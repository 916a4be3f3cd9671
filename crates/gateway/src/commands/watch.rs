//! Takes in what was read from the platform and from hosts.

use base::prelude::*;
use document::commands::{AcceptOutcome, accept, learn_good};
use document::{Document, GoodSections};
use groups::{FabricRecord, HostReport, TimedReport};
use platform::{DrainList, HostEntry};

use super::{calls, poll, targets};
use crate::state::{FabricView, GatewayState};
use crate::{GatewayEffect, queries};

/// Pause after a failed read of the document.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Takes in the document.
pub fn observe_document(
    state: &mut GatewayState,
    read: Option<(ObjectVersion, Arc<Document>)>,
    now: ClockTime,
) -> Vec<GatewayEffect> {
    let Some((version, document)) = read else {
        state.polls.document.set(now + RETRY_PAUSE);
        return Vec::new();
    };
    let outcome = accept(&mut state.config, version, document);
    state.polls.document.set(next_watch(outcome, now));
    if !state.config.in_force.rejected.is_empty() {
        state.polls.good_sections.set(now);
    }
    apply_configuration(state, now)
}

/// A store that has an older document would answer every watch at once.
fn next_watch(outcome: AcceptOutcome, now: ClockTime) -> ClockTime {
    match outcome {
        AcceptOutcome::InForce | AcceptOutcome::Unchanged => now,
        AcceptOutcome::Older { .. } => now + RETRY_PAUSE,
    }
}

/// Takes in the last good sections, in place of those that are held back.
pub fn observe_good_sections(
    state: &mut GatewayState,
    read: Option<GoodSections>,
    now: ClockTime,
) -> Vec<GatewayEffect> {
    match read {
        None => {
            state.polls.good_sections.set(now + RETRY_PAUSE);
            Vec::new()
        }
        Some(sections) if learn_good(&mut state.config, &sections) => {
            apply_configuration(state, now)
        }
        Some(_) => Vec::new(),
    }
}

fn apply_configuration(state: &mut GatewayState, now: ClockTime) -> Vec<GatewayEffect> {
    let shares = queries::workspace_shares(&state.config.in_force.configuration);
    let change = limits::commands::set_shares(&mut state.admission, shares, now);
    let mut effects = calls::apply_change(state, change, now);
    effects.extend(targets::refresh(state, now));
    effects
}

/// Takes in all fabric domains.
pub fn observe_fabrics(
    state: &mut GatewayState,
    read: Option<Vec<(FabricRecord, ObjectVersion)>>,
    now: ClockTime,
) -> Vec<GatewayEffect> {
    state.polls.fabrics.set(now + state.times.read_interval);
    let Some(records) = read else {
        return Vec::new();
    };
    for (record, version) in records {
        take_record(state, version, record);
    }
    poll::set_watched(state);
    targets::refresh(state, now)
}

/// An older version may come late and is passed over.
fn take_record(state: &mut GatewayState, version: ObjectVersion, record: FabricRecord) {
    let known = state.fabrics.get(&record.fabric);
    if known.is_some_and(|view| version <= view.version) {
        return;
    }
    let fabric = record.fabric.clone();
    state.fabrics.insert(fabric, FabricView { version, record });
}

/// Takes in the list of hosts.
pub fn observe_hosts(
    state: &mut GatewayState,
    read: Option<Vec<HostEntry>>,
    now: ClockTime,
) -> Vec<GatewayEffect> {
    state.polls.hosts.set(now + state.times.read_interval);
    let Some(entries) = read else {
        return Vec::new();
    };
    let entries = entries.into_iter().map(|entry| (entry.host.clone(), entry));
    state.hosts = entries.collect();
    poll::set_watched(state);
    targets::refresh(state, now)
}

/// Takes in the hosts that operators are draining.
pub fn observe_drains(
    state: &mut GatewayState,
    read: Option<DrainList>,
    now: ClockTime,
) -> Vec<GatewayEffect> {
    state.polls.drains.set(now + state.times.read_interval);
    match read {
        Some(drains) if drains != state.drains => {
            state.drains = drains;
            targets::refresh(state, now)
        }
        _ => Vec::new(),
    }
}

/// Takes in a host's answer; its life counts from when it was asked for.
pub fn observe_report(
    state: &mut GatewayState,
    host: &HostName,
    asked_at: ClockTime,
    report: Option<HostReport>,
    now: ClockTime,
) -> Vec<GatewayEffect> {
    let Some(report) = report.filter(|report| report.host == *host) else {
        return Vec::new();
    };
    let known = state.reports.get(host);
    if known.is_some_and(|known| asked_at < known.asked_at) {
        return Vec::new();
    }
    let changed = known.is_none_or(|known| known.report != report || known.valid_until <= now);
    let timed = TimedReport {
        valid_until: asked_at + state.times.report_validity,
        asked_at,
        report,
    };
    state.reports.insert(host.clone(), timed);
    targets::observe_load(state, host);
    if changed {
        targets::refresh(state, now)
    } else {
        Vec::new()
    }
}
