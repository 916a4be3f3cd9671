//! Evidence of this and other nodes.

use base::prelude::*;

use super::changes::{forget_suspect, record_change};
use super::own::{add_evidence, clear_for_all};
use crate::queries::{find_verdicts, is_watched};
use crate::state::{ChangeNumber, ClearedSuspect, ReportedSuspect};
use crate::{CrashEvidence, CrashReport, CrashSuspect, QuarantineState};

/// Least time from a search for verdicts until the next one because of other nodes' reports.
const SEARCH_INTERVAL: Duration = Duration::from_millis(50);
/// Least time between two searches for evidence that has expired.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(100);
/// Part of the parts and requests that are forgotten together if there are too many, as a divisor.
const FORGOTTEN_DIVISOR: usize = 16;

/// Adds another node's evidence.
pub fn merge_evidence(state: &mut QuarantineState, evidence: &CrashEvidence, now: ClockTime) {
    for clearance in &evidence.clearances {
        let cleared = state.cleared.get(&clearance.suspect);
        if cleared.is_none_or(|cleared| cleared.cleared_at < clearance.cleared_at) {
            clear_suspect(state, clearance.suspect, clearance.cleared_at);
        }
    }
    for report in &evidence.reports {
        let answered_at = state.answered.get(&report.suspect).copied();
        if let Some(at) = answered_at.filter(|at| *at > report.seen_at) {
            // Other nodes need the clearance too.
            clear_for_all(state, report.suspect, at, now);
        }
        add_report(state, *report, now);
    }
    expire(state, now);
    update_verdicts_soon(state, now);
}

/// Forgets evidence whose time is over, ends verdicts, and makes those that are due.
pub fn expire(state: &mut QuarantineState, now: ClockTime) {
    if state.expiry_due.max(state.next_expiry_at) <= now {
        remove_expired(state, now);
    }
    let count = state.verdicts.len();
    state.verdicts.retain(|verdict| verdict.until > now);
    if state.verdicts.len() != count {
        state.verdict_changes += 1;
    }
    if state.verdict_due.is_some_and(|due| due <= now) {
        search_verdicts(state, now);
    }
}

/// Removes evidence whose time is over, and finds the instant at which the next one's is.
fn remove_expired(state: &mut QuarantineState, now: ClockTime) {
    let retention = state.settings.retention;
    let expired = state.reported.iter();
    let expired = expired.filter(|(_, reported)| reported.expires_at <= now);
    let expired: Vec<_> = expired.map(|(suspect, _)| *suspect).collect();
    for suspect in expired {
        forget_suspect(state, suspect);
    }
    state
        .cleared
        .retain(|_, cleared| now.since(cleared.cleared_at) < retention);
    state.own_reports.retain(|own| own.expires_at > now);
    state.own_clearances.retain(|own| own.expires_at > now);
    let reported = state.reported.values().map(|reported| reported.expires_at);
    let cleared = state.cleared.values();
    let cleared = cleared.map(|cleared| cleared.cleared_at + retention);
    let reports = state.own_reports.iter().map(|own| own.expires_at);
    let clearances = state.own_clearances.iter().map(|own| own.expires_at);
    let expiries = reported.chain(cleared).chain(reports).chain(clearances);
    state.expiry_due = expiries.min().unwrap_or(now + retention);
    state.next_expiry_at = now + EXPIRY_INTERVAL;
}

/// Remembers suspects for longer, here and at other nodes, because requests with them still come
/// and are rejected.
pub fn renew_suspects(state: &mut QuarantineState, suspects: &[CrashSuspect], now: ClockTime) {
    let renewal_interval = state.settings.renewal_interval;
    let expires_at = now + state.settings.retention;
    let mut renewals = Vec::new();
    for suspect in suspects {
        let Some(reported) = state.reported.get_mut(suspect) else {
            continue;
        };
        if reported.expires_at + renewal_interval > expires_at {
            continue;
        }
        reported.renewed_at = Some(now);
        reported.expires_at = expires_at;
        renewals.extend(reported.renewed_reports().last());
        record_change(state, *suspect, true);
    }
    if renewals.is_empty() {
        return;
    }
    for report in renewals {
        add_evidence(&state.settings, &mut state.own_reports, report, now);
    }
    update_verdicts(state, now);
}

/// Adds a report unless it is known or void; returns whether it is new.
///
/// A known one that was seen later is a renewal by another node.
pub(super) fn add_report(state: &mut QuarantineState, report: CrashReport, now: ClockTime) -> bool {
    if let Some(cleared) = state.cleared.get_mut(&report.suspect)
        && cleared.cleared_at >= report.seen_at
    {
        // Whoever sent it doesn't know the clearance.
        if !std::mem::replace(&mut cleared.is_needed, true) {
            state.last_change.0 += 1;
            cleared.changed = state.last_change;
        }
        return false;
    }
    let settings = &state.settings;
    let expires_at = report.seen_at + settings.retention;
    let is_new = !state.reported.contains_key(&report.suspect);
    if is_new && state.reported.len() >= settings.max_reported_suspects {
        forget_oldest_suspects(state);
    }
    let max_reports = state.settings.max_reports_per_suspect;
    let reported = state
        .reported
        .entry(report.suspect)
        .or_insert_with(|| ReportedSuspect {
            reports: Vec::new(),
            renewed_at: None,
            expires_at,
            changed: ChangeNumber::default(),
            renewed: ChangeNumber::default(),
            hash: 0,
            known_reports: 0,
            is_told: false,
        });
    let is_known = reported
        .reports
        .iter()
        .any(|other| other.crash == report.crash);
    let is_renewal = is_known && expires_at > reported.expires_at + state.settings.resend_duration;
    if is_renewal {
        reported.renewed_at = Some(now);
    }
    if expires_at > reported.expires_at {
        reported.expires_at = expires_at;
        let count = reported.known_reports;
        state.has_new_reports |= count >= state.settings.min_crashes;
    }
    state.expiry_due = state.expiry_due.min(reported.expires_at);
    // Of several requests at one crash the first by number stands for all, at every node.
    let reports = &mut reported.reports;
    if let Some(position) = reports.iter().position(|other| other.crash == report.crash) {
        if reports[position].request <= report.request {
            if is_renewal {
                record_change(state, report.suspect, true);
            }
            return false;
        }
        reports.remove(position);
    }
    let position = reported
        .reports
        .partition_point(|other| other.seen_at <= report.seen_at);
    reported.reports.insert(position, report);
    if reported.reports.len() > max_reports {
        remove_closest(&mut reported.reports);
    }
    record_change(state, report.suspect, is_renewal);
    true
}

/// Removes the report that says least: the one that follows another most closely, but for the
/// last one. Verdicts depend on the first, on the last and on how far apart crashes are.
fn remove_closest(reports: &mut Vec<CrashReport>) {
    let gap = |index: &usize| reports[*index].seen_at.since(reports[*index - 1].seen_at);
    let closest = (1..reports.len().saturating_sub(1)).min_by_key(gap);
    if let Some(index) = closest {
        reports.remove(index);
    }
}

/// Forgets some of the parts and requests that say least.
fn forget_oldest_suspects(state: &mut QuarantineState) {
    let reported = state.reported.iter();
    let keys = reported.map(|(suspect, reported)| {
        let key = (reported.reports.len(), reported.expires_at);
        (key, *suspect)
    });
    for suspect in smallest(keys.collect()) {
        forget_suspect(state, suspect);
    }
}

/// The suspects with the smallest keys, one of `FORGOTTEN_DIVISOR`.
fn smallest<K: Ord>(mut keys: Vec<(K, CrashSuspect)>) -> Vec<CrashSuspect> {
    let count = (keys.len() / FORGOTTEN_DIVISOR).max(1);
    if count < keys.len() {
        keys.select_nth_unstable(count);
        keys.truncate(count);
    }
    keys.into_iter().map(|(_, suspect)| suspect).collect()
}

/// Voids the reports of a part or request up to an instant.
pub(super) fn clear_suspect(
    state: &mut QuarantineState,
    suspect: CrashSuspect,
    cleared_at: ClockTime,
) {
    if state.cleared.len() >= state.settings.max_reported_suspects {
        let cleared = state.cleared.iter();
        let keys = cleared.map(|(suspect, cleared)| {
            let key = (cleared.is_needed, cleared.cleared_at);
            (key, *suspect)
        });
        for suspect in smallest(keys.collect()) {
            state.cleared.remove(&suspect);
        }
    }
    let reported = state.reported.get(&suspect);
    let is_known = reported.is_some_and(|reported| reported.is_told || is_watched(reported));
    state.last_change.0 += 1;
    let expires_at = cleared_at + state.settings.retention;
    state.expiry_due = state.expiry_due.min(expires_at);
    let entry = state.cleared.entry(suspect).or_insert(ClearedSuspect {
        cleared_at,
        changed: state.last_change,
        is_needed: false,
    });
    entry.cleared_at = entry.cleared_at.max(cleared_at);
    entry.changed = state.last_change;
    entry.is_needed |= is_known;
    if let Some(reported) = state.reported.get_mut(&suspect) {
        reported
            .reports
            .retain(|report| report.seen_at > cleared_at);
        if reported.reports.is_empty() {
            forget_suspect(state, suspect);
        } else {
            record_change(state, suspect, false);
        }
    }
    let reported = state.reported.get(&suspect);
    let is_valid = |report: &CrashReport| {
        let mut reports = reported.into_iter().flat_map(|reported| &reported.reports);
        report.suspect != suspect || reports.any(|other| other.crash == report.crash)
    };
    state.own_reports.retain(|own| is_valid(&own.item));
}

/// Searches for verdicts if reports have changed that can matter.
pub(super) fn update_verdicts(state: &mut QuarantineState, now: ClockTime) {
    if state.has_new_reports {
        search_verdicts(state, now);
    }
}

/// The same, but a moment after the last search, as many messages may arrive together.
fn update_verdicts_soon(state: &mut QuarantineState, now: ClockTime) {
    if state.next_search_at <= now {
        update_verdicts(state, now);
    } else if state.has_new_reports {
        let due = state.verdict_due.unwrap_or(state.next_search_at);
        state.verdict_due = Some(due.min(state.next_search_at));
    }
}

fn search_verdicts(state: &mut QuarantineState, now: ClockTime) {
    let (verdicts, verdict_due) = find_verdicts(state, now);
    if state.verdicts != verdicts {
        state.verdict_changes += 1;
    }
    state.verdicts = verdicts;
    state.verdict_due = verdict_due;
    state.has_new_reports = false;
    state.next_search_at = now + SEARCH_INTERVAL;
}
