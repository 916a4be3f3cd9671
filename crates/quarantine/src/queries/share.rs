//! Evidence that is sent to other nodes.
//!
//! A node's own reports and clearances are sent to other nodes a few times ([`fresh_evidence`]).
//! What every node must know is sent as differences: an [`EvidenceCursor`] says up to which change
//! a node was told, and [`next_evidence`] chooses what it is told next, the most important first.
//! What doesn't fit is not kept for that node. If its hash still differs later, it is told all, in
//! pieces beside the differences.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use base::prelude::*;
use twox_hash::XxHash64;

use super::verdict::min_crashes;
use crate::state::{ChangeNumber, ClearedSuspect, OwnEvidence, ReportedSuspect};
use crate::{CrashEvidence, CrashReport, CrashSuspect, QuarantineState, SuspectClearance};

/// Separate crashes from which all nodes hear of a part or request.
const MIN_WATCHED_CRASHES: usize = 2;
/// Part of a message that pieces of the whole may use beside differences, as a divisor.
const PIECE_DIVISOR: usize = 4;

/// This node's own reports and clearances that are due to be sent; other nodes must hear of them at
/// once. Those come first that others lack most.
pub fn fresh_evidence(state: &QuarantineState, now: ClockTime) -> CrashEvidence {
    let mut reports: Vec<_> = due_evidence(&state.own_reports, now).collect();
    reports.sort_by_key(|own| {
        let reported = state.reported.get(&own.item.suspect);
        let is_watched = reported.is_some_and(is_watched);
        (own.sends, !is_watched, own.item.stage, Reverse(own.due))
    });
    let mut clearances: Vec<_> = due_evidence(&state.own_clearances, now).collect();
    clearances.sort_by_key(|own| {
        let cleared = state.cleared.get(&own.item.suspect);
        let is_needed = cleared.is_some_and(|cleared| cleared.is_needed);
        (own.sends, !is_needed, Reverse(own.due))
    });
    CrashEvidence {
        reports: reports.into_iter().map(|own| own.item).collect(),
        clearances: clearances.into_iter().map(|own| own.item).collect(),
    }
}

/// Whether this node has reports or clearances to send, now or later.
pub fn has_fresh_evidence(state: &QuarantineState) -> bool {
    !state.own_reports.is_empty() || !state.own_clearances.is_empty()
}

fn due_evidence<T>(
    own: &[OwnEvidence<T>],
    now: ClockTime,
) -> impl Iterator<Item = &OwnEvidence<T>> {
    own.iter().filter(move |own| own.due <= now)
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

/// What another node's digest says of its evidence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerEvidence {
    /// It is the same.
    Same,
    /// It is another; the digest may be older than the last message.
    Other,
    /// It is another, and the last message has arrived or is lost.
    StillOther,
}

/// Up to where another node was told the evidence.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvidenceCursor {
    /// Change up to which differences were sent.
    told_until: ChangeNumber,
    /// Change up to which all renewals were sent, which no hash shows.
    renewed_until: ChangeNumber,
    /// Whether some were left out, or were lost.
    is_behind: bool,
    /// Last part or request in the pieces of the whole.
    last_piece: Option<(Reverse<EvidenceRank>, CrashSuspect)>,
}

impl EvidenceCursor {
    /// Whether a node with the same hash has nothing more to be told.
    pub fn is_current(&self, state: &QuarantineState) -> bool {
        self.renewed_until == state.last_change
    }
}

/// Importance of what is known of a part or request for other nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum EvidenceRank {
    /// Clearance of what no other node is known to have reports of.
    Unneeded,
    /// Too few crashes for a verdict.
    Watched,
    /// Clearance of what other nodes have reports of; half of a message is free for them.
    Cleared,
    /// Enough crashes for a verdict, unless answers clear it.
    Suspected,
    /// Quarantined, or renewed.
    Quarantined,
}

/// What is known of a part or request.
struct EvidenceEntry<'a> {
    rank: EvidenceRank,
    suspect: CrashSuspect,
    changed: ChangeNumber,
    renewed: ChangeNumber,
    reported: Option<&'a ReportedSuspect>,
    cleared: Option<&'a ClearedSuspect>,
}

impl EvidenceEntry<'_> {
    fn add_to(&self, evidence: &mut CrashEvidence) {
        let reported = self.reported.into_iter();
        evidence
            .reports
            .extend(reported.flat_map(ReportedSuspect::renewed_reports));
        let cleared = self.cleared.into_iter();
        evidence
            .clearances
            .extend(cleared.map(|cleared| SuspectClearance {
                suspect: self.suspect,
                cleared_at: cleared.cleared_at,
            }));
    }

    fn byte_count(&self) -> usize {
        let reports = self.reported.map_or(0, |reported| reported.reports.len());
        let clearances = usize::from(self.cleared.is_some());
        reports * CrashEvidence::REPORT_BYTES + clearances * CrashEvidence::CLEARANCE_BYTES
    }

    fn position(&self) -> (Reverse<EvidenceRank>, CrashSuspect) {
        (Reverse(self.rank), self.suspect)
    }
}

/// What another node is told next in a message of limited size, and its cursor after that.
pub fn next_evidence(
    state: &QuarantineState,
    cursor: &EvidenceCursor,
    peer: PeerEvidence,
    max_bytes: usize,
) -> (CrashEvidence, EvidenceCursor) {
    if peer == PeerEvidence::Same {
        return next_renewals(state, cursor, max_bytes);
    }
    let mut next = EvidenceCursor {
        told_until: state.last_change,
        ..cursor.clone()
    };
    let mut message = EvidenceMessage::default();
    let is_behind = cursor.is_behind || peer == PeerEvidence::StillOther;
    let piece_bytes = match is_behind {
        true => max_bytes / PIECE_DIVISOR,
        false => 0,
    };
    let mut changes = evidence_entries(state, cursor.told_until);
    changes.retain(|entry| entry.rank > EvidenceRank::Unneeded);
    changes.sort_unstable_by_key(|entry| (Reverse(entry.rank), Reverse(entry.changed)));
    let change_bytes = max_bytes - piece_bytes;
    let is_cleared = |entry: &&EvidenceEntry| entry.rank == EvidenceRank::Cleared;
    message.add_all(changes.iter().filter(is_cleared), change_bytes / 2);
    let has_all = message.add_all(changes.iter(), change_bytes);
    if has_all && cursor.renewed_until >= cursor.told_until {
        next.renewed_until = state.last_change;
    }
    next.is_behind = !has_all;
    next.last_piece = None;
    if is_behind {
        let max_bytes = match message.suspects.is_empty() {
            true => max_bytes,
            false => message.byte_count + piece_bytes,
        };
        let mut rest = evidence_entries(state, ChangeNumber::default());
        let last = cursor.last_piece;
        rest.retain(|entry| last.is_none_or(|last| entry.position() > last));
        rest.sort_unstable_by_key(EvidenceEntry::position);
        if !message.add_all(rest.iter(), max_bytes) {
            let is_sent = |entry: &&EvidenceEntry| message.suspects.contains(&entry.suspect);
            let sent = rest.iter().take_while(is_sent).last();
            next.last_piece = sent.map(EvidenceEntry::position).or(cursor.last_piece);
            next.is_behind = true;
        }
    }
    (message.evidence, next)
}

/// Renewals that a node with the same hash is told next, the oldest first.
fn next_renewals(
    state: &QuarantineState,
    cursor: &EvidenceCursor,
    max_bytes: usize,
) -> (CrashEvidence, EvidenceCursor) {
    let mut next = EvidenceCursor {
        told_until: state.last_change,
        renewed_until: state.last_change,
        ..cursor.clone()
    };
    let mut renewed = evidence_entries(state, cursor.renewed_until);
    renewed.retain(|entry| entry.renewed > cursor.renewed_until);
    renewed.sort_unstable_by_key(|entry| entry.renewed);
    let mut message = EvidenceMessage::default();
    if !message.add_all(renewed.iter(), max_bytes) {
        let is_sent = |entry: &&EvidenceEntry| message.suspects.contains(&entry.suspect);
        let sent = renewed.iter().take_while(is_sent).last();
        next.renewed_until = sent.map_or(cursor.renewed_until, |entry| entry.renewed);
    }
    (message.evidence, next)
}

/// Message that is put together.
#[derive(Default)]
struct EvidenceMessage {
    evidence: CrashEvidence,
    suspects: BTreeSet<CrashSuspect>,
    byte_count: usize,
}

impl EvidenceMessage {
    /// Adds entries until one doesn't fit; returns whether all did. The first always does.
    fn add_all<'a, 'b: 'a>(
        &mut self,
        entries: impl Iterator<Item = &'a EvidenceEntry<'b>>,
        max_bytes: usize,
    ) -> bool {
        for entry in entries {
            if self.suspects.contains(&entry.suspect) {
                continue;
            }
            let byte_count = self.byte_count + entry.byte_count();
            if byte_count > max_bytes && !self.suspects.is_empty() {
                return false;
            }
            entry.add_to(&mut self.evidence);
            self.suspects.insert(entry.suspect);
            self.byte_count = byte_count;
        }
        true
    }
}

/// What is known of each part and request that other nodes must know, or may have to, and that has
/// changed since a change.
fn evidence_entries(state: &QuarantineState, since: ChangeNumber) -> Vec<EvidenceEntry<'_>> {
    let quarantined: BTreeSet<_> = state
        .verdicts
        .iter()
        .flat_map(|verdict| verdict.suspects.iter().copied())
        .collect();
    let mut entries = Vec::new();
    let watched = |suspect: &CrashSuspect| (state.reported.get(suspect)).is_some_and(is_watched);
    let cleared = state.cleared.iter();
    let cleared = cleared.filter(|(_, cleared)| cleared.changed > since);
    for (suspect, cleared) in cleared.filter(|(suspect, _)| !watched(suspect)) {
        let rank = match cleared.is_needed {
            true => EvidenceRank::Cleared,
            false => EvidenceRank::Unneeded,
        };
        entries.push(EvidenceEntry {
            rank,
            suspect: *suspect,
            changed: cleared.changed,
            renewed: ChangeNumber::default(),
            reported: None,
            cleared: Some(cleared),
        });
    }
    let watched = (state.reported.iter()).filter(|(_, reported)| is_watched(reported));
    for (suspect, reported) in watched {
        let cleared = state.cleared.get(suspect);
        let cleared_change = cleared.map_or(ChangeNumber::default(), |cleared| cleared.changed);
        let changed = reported.changed.max(cleared_change);
        if changed <= since {
            continue;
        }
        let min_crashes = min_crashes(&state.settings, reported.stage());
        let rank = if quarantined.contains(suspect) || reported.renewed_at.is_some() {
            EvidenceRank::Quarantined
        } else if reported.reports.len() >= min_crashes {
            EvidenceRank::Suspected
        } else if cleared.is_some_and(|cleared| cleared.is_needed) {
            EvidenceRank::Cleared
        } else {
            EvidenceRank::Watched
        };
        entries.push(EvidenceEntry {
            rank,
            suspect: *suspect,
            changed,
            renewed: reported.renewed,
            reported: Some(reported),
            cleared,
        });
    }
    entries
}

/// Hash of the watched reports; nodes with the same hash have nothing to tell each other.
pub fn evidence_hash(state: &QuarantineState) -> u64 {
    state.watched_hash
}

/// Hash of the reports of a part or request; zero unless all nodes must know them.
pub(crate) fn reports_hash(reports: &[CrashReport]) -> u64 {
    if !are_watched(reports) {
        return 0;
    }
    let hashes = reports.iter().map(|report| {
        let (kind, id) = match report.suspect {
            CrashSuspect::Part(part) => (0, part.0),
            CrashSuspect::Request(digest) => (1, digest.0),
        };
        let mut bytes = [0; 32];
        let fields = [kind, id, report.crash.0, report.request.0];
        for (place, field) in bytes.chunks_exact_mut(8).zip(fields) {
            place.copy_from_slice(&u64::to_le_bytes(field));
        }
        XxHash64::oneshot(0, &bytes)
    });
    // The order of the reports doesn't matter.
    hashes.fold(0, u64::wrapping_add)
}

fn clearances(state: &QuarantineState) -> impl Iterator<Item = SuspectClearance> {
    let cleared = state.cleared.iter();
    cleared.map(|(suspect, cleared)| SuspectClearance {
        suspect: *suspect,
        cleared_at: cleared.cleared_at,
    })
}

/// Whether every node must know the reports of a part or request.
pub(crate) fn is_watched(reported: &ReportedSuspect) -> bool {
    are_watched(&reported.reports)
}

fn are_watched(reports: &[CrashReport]) -> bool {
    let first = reports.first().map(|report| report.crash);
    let others = reports.iter().filter(|report| Some(report.crash) != first);
    others.count() + 1 >= MIN_WATCHED_CRASHES
}
