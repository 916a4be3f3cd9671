//! Changes of the evidence, by which other nodes are told only what is new.

use std::collections::BTreeSet;

use crate::queries::reports_hash;
use crate::{CrashEvidence, CrashSuspect, QuarantineState};

/// Records that reports of a part or request have changed, or their renewal.
pub(super) fn record_change(state: &mut QuarantineState, suspect: CrashSuspect, is_renewal: bool) {
    let Some(reported) = state.reported.get_mut(&suspect) else {
        return;
    };
    state.last_change.0 += 1;
    reported.changed = state.last_change;
    if is_renewal {
        reported.renewed = state.last_change;
    }
    // Fewer don't make a verdict, but a suspect that had more may have ended one.
    let count = reported.reports.len().max(reported.known_reports);
    state.has_new_reports |= count >= state.settings.min_crashes;
    reported.known_reports = reported.reports.len();
    let hash = reports_hash(&reported.reports);
    state.watched_hash = state
        .watched_hash
        .wrapping_sub(reported.hash)
        .wrapping_add(hash);
    reported.hash = hash;
}

/// Forgets the reports of a part or request.
pub(super) fn forget_suspect(state: &mut QuarantineState, suspect: CrashSuspect) {
    if let Some(reported) = state.reported.remove(&suspect) {
        state.watched_hash = state.watched_hash.wrapping_sub(reported.hash);
        state.has_new_reports |= reported.known_reports >= state.settings.min_crashes;
    }
}

/// Records that evidence was sent to another node, which will need clearances of it.
pub fn record_told(state: &mut QuarantineState, evidence: &CrashEvidence) {
    let reports = evidence.reports.iter();
    let suspects: BTreeSet<_> = reports.map(|report| report.suspect).collect();
    for suspect in suspects {
        if let Some(reported) = state.reported.get_mut(&suspect) {
            reported.is_told = true;
        }
    }
}
