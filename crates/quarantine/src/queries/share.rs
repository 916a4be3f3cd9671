//! Evidence that is sent to other nodes.

use base::prelude::*;
use twox_hash::XxHash64;

use crate::state::ReportedSuspect;
use crate::{CrashEvidence, CrashSuspect, QuarantineState, SuspectClearance};

/// Separate crashes from which all nodes hear of a part or request.
const MIN_WATCHED_CRASHES: usize = 2;

/// This node's own latest reports and clearances; other nodes must hear of them at once.
pub fn fresh_evidence(state: &QuarantineState, now: ClockTime) -> CrashEvidence {
    let clearances = clearances(state)
        .filter(|clearance| now.since(clearance.cleared_at) < state.settings.resend_duration);
    CrashEvidence {
        reports: state
            .own_reports
            .iter()
            .map(|(report, _)| *report)
            .collect(),
        clearances: clearances.collect(),
    }
}

/// What every node must know: reports that several crashes have in common, and
/// clearances.
pub fn watched_evidence(state: &QuarantineState) -> CrashEvidence {
    let watched = state
        .reported
        .values()
        .filter(|reported| is_watched(reported));
    CrashEvidence {
        reports: watched.flat_map(ReportedSuspect::renewed_reports).collect(),
        clearances: clearances(state).collect(),
    }
}

/// Last instant at which a suspect was renewed; nodes that don't know of it may forget too early.
pub fn last_renewal(state: &QuarantineState) -> Option<ClockTime> {
    let reported = state.reported.values();
    reported.filter_map(|reported| reported.renewed_at).max()
}

/// Hash of the watched reports; nodes with the same hash have nothing to tell each other.
pub fn evidence_hash(state: &QuarantineState) -> u64 {
    let watched = state
        .reported
        .values()
        .filter(|reported| is_watched(reported));
    let reports = watched.flat_map(|reported| &reported.reports);
    let hashes = reports.map(|report| {
        let (kind, id) = match report.suspect {
            CrashSuspect::Part(part) => (0, part.0),
            CrashSuspect::Request(digest) => (1, digest.0),
        };
        let fields = [kind, id, report.crash.0, report.request.0];
        let bytes: Vec<u8> = fields
            .iter()
            .flat_map(|field| field.to_le_bytes())
            .collect();
        XxHash64::oneshot(0, &bytes)
    });
    // The order of the reports doesn't matter.
    hashes.fold(0, u64::wrapping_add)
}

fn clearances(state: &QuarantineState) -> impl Iterator<Item = SuspectClearance> {
    state
        .cleared
        .iter()
        .map(|(suspect, cleared_at)| SuspectClearance {
            suspect: *suspect,
            cleared_at: *cleared_at,
        })
}

fn is_watched(reported: &ReportedSuspect) -> bool {
    let reports = &reported.reports;
    let first = reports.first().map(|report| report.crash);
    let others = reports.iter().filter(|report| Some(report.crash) != first);
    others.count() + 1 >= MIN_WATCHED_CRASHES
}
