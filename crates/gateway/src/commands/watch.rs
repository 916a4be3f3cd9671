//! Applies the results of reads of the platform and polls of hosts.

use base::prelude::*;
use groups::{FabricRecord, HostReport, TimedReport};
use watch::commands::{observe, set_polled_hosts};
use watch::{WatchChange, WatchEvent};

use super::{queue, targets};
use crate::state::{GatewayState, VersionedFabric};
use crate::{GatewayEffect, queries};

/// Handles the result of a read or poll.
pub fn complete_read(
    state: &mut GatewayState,
    event: WatchEvent,
    now: ClockTime,
) -> Vec<GatewayEffect> {
    let change = observe(&mut state.watch, event, now);
    apply(state, change, now)
}

/// Applies a change of the watched state.
pub fn apply(state: &mut GatewayState, change: WatchChange, now: ClockTime) -> Vec<GatewayEffect> {
    match change {
        WatchChange::Nothing => Vec::new(),
        WatchChange::Configuration => apply_configuration(state, now),
        WatchChange::Fabrics(records) => update_fabrics(state, records, now),
        WatchChange::Hosts | WatchChange::GatewayCount => targets::refresh(state, now),
        WatchChange::Report { report, polled_at } => record_report(state, report, polled_at, now),
    }
}

fn apply_configuration(state: &mut GatewayState, now: ClockTime) -> Vec<GatewayEffect> {
    let limits = queries::workspace_limits(&state.watch.config.in_force.configuration);
    let change = limits::commands::set_workspaces(&mut state.admission, limits, now);
    let mut effects = queue::apply_change(state, change, now);
    effects.extend(targets::refresh(state, now));
    effects
}

fn update_fabrics(
    state: &mut GatewayState,
    records: Vec<(FabricRecord, ObjectVersion)>,
    now: ClockTime,
) -> Vec<GatewayEffect> {
    let mut changed = false;
    for (record, version) in records {
        changed |= update_record(state, record, version);
    }
    if !changed {
        return Vec::new();
    }
    let polled = queries::hosts_to_poll(state);
    state.reports.retain(|host, _| polled.contains_key(host));
    set_polled_hosts(&mut state.watch, polled);
    targets::refresh(state, now)
}

/// Stores a fabric record; true if it is newer than the stored one. Reads may
/// complete out of order.
fn update_record(state: &mut GatewayState, record: FabricRecord, version: ObjectVersion) -> bool {
    let previous = state.fabrics.get(&record.fabric);
    if previous.is_some_and(|previous| version <= previous.version) {
        return false;
    }
    let fabric = record.fabric.clone();
    state
        .fabrics
        .insert(fabric, VersionedFabric { version, record });
    true
}

/// Stores a host's report. Its validity counts from the start of the poll, so that
/// a delayed response doesn't make the host look alive for longer.
fn record_report(
    state: &mut GatewayState,
    report: HostReport,
    polled_at: ClockTime,
    now: ClockTime,
) -> Vec<GatewayEffect> {
    let host = report.host.clone();
    let previous = state.reports.get(&host);
    if previous.is_some_and(|previous| polled_at < previous.polled_at) {
        return Vec::new();
    }
    let changed =
        previous.is_none_or(|previous| previous.report != report || previous.valid_until <= now);
    let timed = TimedReport {
        valid_until: polled_at + state.times.report_validity,
        polled_at,
        report,
    };
    state.reports.insert(host.clone(), timed);
    targets::update_load(state, &host);
    if changed {
        targets::refresh(state, now)
    } else {
        targets::update_slot_shares(state, now)
    }
}
