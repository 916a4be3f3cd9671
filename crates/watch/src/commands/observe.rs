//! Records the results of reads.

use base::prelude::*;
use document::commands::{AcceptOutcome, accept, apply_last_good};
use document::{Document, GoodSections};
use groups::HostReport;
use interface::{DrainList, HostEntry};

use crate::{WatchChange, WatchEvent, WatchState};

/// Delay after a failed read. It adds to the timeout of a call that a silent store did not answer,
/// and changes must be known within three seconds of the store's return.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Interval between two counts of the gateway nodes.
const GATEWAY_COUNT_INTERVAL: Duration = Duration::from_secs(10);

/// Records the result of a read, schedules the next one and returns what changed.
pub fn observe(state: &mut WatchState, event: WatchEvent, now: ClockTime) -> WatchChange {
    let next = |is_read: bool| match is_read {
        true => now + state.times.read_interval,
        false => now + RETRY_DELAY,
    };
    match event {
        WatchEvent::DocumentRead(result) => observe_document(state, result, now),
        WatchEvent::DocumentUnchanged => {
            state.document_timer.set(now);
            WatchChange::Nothing
        }
        WatchEvent::GoodSectionsRead(result) => observe_good_sections(state, result, now),
        WatchEvent::FabricsRead(result) => {
            let due = next(result.is_some());
            state.fabrics_timer.set(due);
            result.map_or(WatchChange::Nothing, WatchChange::Fabrics)
        }
        WatchEvent::HostsRead(result) => {
            let due = next(result.is_some());
            state.hosts_timer.set(due);
            observe_hosts(state, result)
        }
        WatchEvent::DrainsRead(result) => {
            let due = next(result.is_some());
            state.drains_timer.set(due);
            observe_drains(state, result)
        }
        WatchEvent::GatewaysCounted(result) => {
            state.gateways_timer.set(now + GATEWAY_COUNT_INTERVAL);
            observe_gateway_count(state, result)
        }
        WatchEvent::HostReported {
            host,
            polled_at,
            report,
        } => observe_report(&host, polled_at, report),
    }
}

fn observe_document(
    state: &mut WatchState,
    result: Option<(ObjectVersion, Arc<Document>)>,
    now: ClockTime,
) -> WatchChange {
    let Some((version, document)) = result else {
        state.document_timer.set(now + RETRY_DELAY);
        return WatchChange::Nothing;
    };
    let outcome = accept(&mut state.config, version, document);
    state.document_timer.set(next_watch(outcome, now));
    if !state.config.in_force.rejected.is_empty() {
        state.good_sections_timer.set(now);
    }
    match outcome {
        AcceptOutcome::InForce => WatchChange::Configuration,
        AcceptOutcome::Unchanged | AcceptOutcome::Older { .. } => WatchChange::Nothing,
    }
}

/// Applies a document that another node sent; the watch of the store continues.
pub fn adopt_document(
    state: &mut WatchState,
    version: ObjectVersion,
    document: Arc<Document>,
    now: ClockTime,
) -> WatchChange {
    let outcome = accept(&mut state.config, version, document);
    if !state.config.in_force.rejected.is_empty() {
        state.good_sections_timer.set(now);
    }
    match outcome {
        AcceptOutcome::InForce => WatchChange::Configuration,
        AcceptOutcome::Unchanged | AcceptOutcome::Older { .. } => WatchChange::Nothing,
    }
}

/// Instant of the next watch.
///
/// A store that holds an older document completes every watch at once, so the next
/// watch is delayed.
fn next_watch(outcome: AcceptOutcome, now: ClockTime) -> ClockTime {
    match outcome {
        AcceptOutcome::InForce | AcceptOutcome::Unchanged => now,
        AcceptOutcome::Older { .. } => now + RETRY_DELAY,
    }
}

/// Records the last good sections, which replace the rejected ones.
fn observe_good_sections(
    state: &mut WatchState,
    result: Option<GoodSections>,
    now: ClockTime,
) -> WatchChange {
    let Some(sections) = result else {
        state.good_sections_timer.set(now + RETRY_DELAY);
        return WatchChange::Nothing;
    };
    if apply_last_good(&mut state.config, &sections) {
        WatchChange::Configuration
    } else {
        WatchChange::Nothing
    }
}

fn observe_hosts(state: &mut WatchState, result: Option<Vec<HostEntry>>) -> WatchChange {
    let Some(entries) = result else {
        return WatchChange::Nothing;
    };
    let entries = entries.into_iter().map(|entry| (entry.host.clone(), entry));
    state.hosts = entries.collect();
    WatchChange::Hosts
}

fn observe_drains(state: &mut WatchState, result: Option<DrainList>) -> WatchChange {
    match result {
        Some(drains) if drains != state.drains => {
            state.drains = drains;
            WatchChange::Hosts
        }
        _ => WatchChange::Nothing,
    }
}

fn observe_gateway_count(state: &mut WatchState, result: Option<usize>) -> WatchChange {
    let count = result.map_or(state.gateway_count, |count| count.max(1));
    if count == state.gateway_count {
        return WatchChange::Nothing;
    }
    state.gateway_count = count;
    WatchChange::GatewayCount
}

/// Returns the report of a polled host, unless it names another host.
fn observe_report(
    host: &HostName,
    polled_at: ClockTime,
    report: Option<HostReport>,
) -> WatchChange {
    match report {
        Some(report) if report.host == *host => WatchChange::Report { report, polled_at },
        _ => WatchChange::Nothing,
    }
}
