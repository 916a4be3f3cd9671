//! Takes in what was read.

use base::prelude::*;
use document::commands::{AcceptOutcome, accept, apply_last_good};
use document::{Document, GoodSections};
use groups::HostReport;
use interface::{DrainList, HostEntry};

use crate::{WatchChange, WatchEvent, WatchState};

/// Pause after a failed read of the document.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Interval between two counts of the nodes.
const COUNT_INTERVAL: Duration = Duration::from_secs(10);

/// Takes in the end of a read and makes the next one due.
pub fn observe(state: &mut WatchState, event: WatchEvent, now: ClockTime) -> WatchChange {
    let next = now + state.times.read_interval;
    match event {
        WatchEvent::DocumentRead(read) => observe_document(state, read, now),
        WatchEvent::DocumentUnchanged => {
            state.document.set(now);
            WatchChange::Nothing
        }
        WatchEvent::GoodSectionsRead(read) => observe_good_sections(state, read, now),
        WatchEvent::FabricsRead(read) => {
            state.fabrics.set(next);
            read.map_or(WatchChange::Nothing, WatchChange::Fabrics)
        }
        WatchEvent::HostsRead(read) => {
            state.listed.set(next);
            observe_hosts(state, read)
        }
        WatchEvent::DrainsRead(read) => {
            state.drained.set(next);
            observe_drains(state, read)
        }
        WatchEvent::NodesRead(read) => {
            state.counted.set(now + COUNT_INTERVAL);
            observe_nodes(state, read)
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
    read: Option<(ObjectVersion, Arc<Document>)>,
    now: ClockTime,
) -> WatchChange {
    let Some((version, document)) = read else {
        state.document.set(now + RETRY_PAUSE);
        return WatchChange::Nothing;
    };
    let outcome = accept(&mut state.config, version, document);
    state.document.set(next_watch(outcome, now));
    if !state.config.in_force.rejected.is_empty() {
        state.good_sections.set(now);
    }
    match outcome {
        AcceptOutcome::InForce => WatchChange::Configuration,
        AcceptOutcome::Unchanged | AcceptOutcome::Older { .. } => WatchChange::Nothing,
    }
}

/// Takes in a document that was not read from the store, whose watch goes on.
pub fn adopt_document(
    state: &mut WatchState,
    version: ObjectVersion,
    document: Arc<Document>,
    now: ClockTime,
) -> WatchChange {
    let outcome = accept(&mut state.config, version, document);
    if !state.config.in_force.rejected.is_empty() {
        state.good_sections.set(now);
    }
    match outcome {
        AcceptOutcome::InForce => WatchChange::Configuration,
        AcceptOutcome::Unchanged | AcceptOutcome::Older { .. } => WatchChange::Nothing,
    }
}

/// A store that has an older document would answer every watch at once.
fn next_watch(outcome: AcceptOutcome, now: ClockTime) -> ClockTime {
    match outcome {
        AcceptOutcome::InForce | AcceptOutcome::Unchanged => now,
        AcceptOutcome::Older { .. } => now + RETRY_PAUSE,
    }
}

/// The last good sections stand in for those that are held back.
fn observe_good_sections(
    state: &mut WatchState,
    read: Option<GoodSections>,
    now: ClockTime,
) -> WatchChange {
    let Some(sections) = read else {
        state.good_sections.set(now + RETRY_PAUSE);
        return WatchChange::Nothing;
    };
    if apply_last_good(&mut state.config, &sections) {
        WatchChange::Configuration
    } else {
        WatchChange::Nothing
    }
}

fn observe_hosts(state: &mut WatchState, read: Option<Vec<HostEntry>>) -> WatchChange {
    let Some(entries) = read else {
        return WatchChange::Nothing;
    };
    let entries = entries.into_iter().map(|entry| (entry.host.clone(), entry));
    state.hosts = entries.collect();
    WatchChange::Hosts
}

fn observe_drains(state: &mut WatchState, read: Option<DrainList>) -> WatchChange {
    match read {
        Some(drains) if drains != state.drains => {
            state.drains = drains;
            WatchChange::Hosts
        }
        _ => WatchChange::Nothing,
    }
}

fn observe_nodes(state: &mut WatchState, read: Option<usize>) -> WatchChange {
    let nodes = read.map_or(state.nodes, |nodes| nodes.max(1));
    if nodes == state.nodes {
        return WatchChange::Nothing;
    }
    state.nodes = nodes;
    WatchChange::Nodes
}

/// An answer in another host's name is nobody's.
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
