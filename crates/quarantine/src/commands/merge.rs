//! Evidence of this and other nodes.

use base::prelude::*;

use crate::queries::find_verdicts;
use crate::state::ReportedSuspect;
use crate::{CrashEvidence, CrashReport, CrashSuspect, QuarantineState};

/// Adds another node's evidence.
pub fn merge_evidence(state: &mut QuarantineState, evidence: &CrashEvidence, now: ClockTime) {
    for clearance in &evidence.clearances {
        let cleared_at = state.cleared.get(&clearance.suspect);
        if cleared_at.is_none_or(|at| *at < clearance.cleared_at) {
            clear_suspect(state, clearance.suspect, clearance.cleared_at);
        }
    }
    for report in &evidence.reports {
        let answered_at = state.answered.get(&report.suspect).copied();
        match answered_at.filter(|at| *at > report.seen_at) {
            // Other nodes need the clearance too.
            Some(at) => clear_suspect(state, report.suspect, at),
            None => {
                add_report(state, *report, now);
            }
        }
    }
    expire(state, now);
    update_verdicts(state, now);
}

/// Forgets evidence whose time is over, ends verdicts, and makes those that are due.
pub fn expire(state: &mut QuarantineState, now: ClockTime) {
    let retention = state.settings.retention;
    state
        .reported
        .retain(|_, reported| reported.expires_at > now);
    state.cleared.retain(|_, at| now.since(*at) < retention);
    state.own_reports.retain(|(_, until)| *until > now);
    state.verdicts.retain(|verdict| verdict.until > now);
    if state.verdict_due.is_some_and(|due| due <= now) {
        update_verdicts(state, now);
    }
}

/// Remembers suspects for longer, here and at other nodes, because requests with them still come
/// and are rejected.
pub fn renew_suspects(state: &mut QuarantineState, suspects: &[CrashSuspect], now: ClockTime) {
    let settings = &state.settings;
    let expires_at = now + settings.retention;
    let resend_until = now + settings.resend_duration;
    let mut renewals = Vec::new();
    for suspect in suspects {
        let Some(reported) = state.reported.get_mut(suspect) else {
            continue;
        };
        if reported.expires_at + settings.renewal_interval > expires_at {
            continue;
        }
        reported.renewed_at = Some(now);
        reported.expires_at = expires_at;
        renewals.extend(reported.renewed_reports().last());
    }
    if renewals.is_empty() {
        return;
    }
    let room = (state.settings.max_reported_suspects).saturating_sub(state.own_reports.len());
    let renewals = renewals.into_iter().take(room);
    let renewals = renewals.map(|report| (report, resend_until));
    state.own_reports.extend(renewals);
    update_verdicts(state, now);
}

/// Adds a report unless it is known or void; returns whether it is new.
///
/// A known one that was seen later is a renewal by another node.
pub(super) fn add_report(state: &mut QuarantineState, report: CrashReport, now: ClockTime) -> bool {
    let cleared_at = state.cleared.get(&report.suspect);
    if cleared_at.is_some_and(|at| *at >= report.seen_at) {
        return false;
    }
    let settings = &state.settings;
    let expires_at = report.seen_at + settings.retention;
    let is_new = !state.reported.contains_key(&report.suspect);
    if is_new && state.reported.len() >= settings.max_reported_suspects {
        forget_oldest_suspect(state);
    }
    let max_reports = state.settings.max_reports_per_suspect;
    let reported = state
        .reported
        .entry(report.suspect)
        .or_insert_with(|| ReportedSuspect {
            reports: Vec::new(),
            renewed_at: None,
            expires_at,
        });
    let is_known = reported
        .reports
        .iter()
        .any(|other| other.crash == report.crash);
    if is_known && expires_at > reported.expires_at + state.settings.resend_duration {
        reported.renewed_at = Some(now);
    }
    reported.expires_at = reported.expires_at.max(expires_at);
    // Of several requests at one crash the first by number stands for all, at every node.
    let reports = &mut reported.reports;
    if let Some(position) = reports.iter().position(|other| other.crash == report.crash) {
        if reports[position].request <= report.request {
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

fn forget_oldest_suspect(state: &mut QuarantineState) {
    let oldest = state
        .reported
        .iter()
        .min_by_key(|(_, reported)| (reported.reports.len(), reported.expires_at));
    if let Some(suspect) = oldest.map(|(suspect, _)| *suspect) {
        state.reported.remove(&suspect);
    }
}

/// Voids the reports of a part or request up to an instant.
pub(super) fn clear_suspect(
    state: &mut QuarantineState,
    suspect: CrashSuspect,
    cleared_at: ClockTime,
) {
    if state.cleared.len() >= state.settings.max_reported_suspects {
        let oldest = state.cleared.iter().min_by_key(|(_, at)| **at);
        if let Some(suspect) = oldest.map(|(suspect, _)| *suspect) {
            state.cleared.remove(&suspect);
        }
    }
    let entry = state.cleared.entry(suspect).or_insert(cleared_at);
    *entry = (*entry).max(cleared_at);
    if let Some(reported) = state.reported.get_mut(&suspect) {
        reported
            .reports
            .retain(|report| report.seen_at > cleared_at);
        if reported.reports.is_empty() {
            state.reported.remove(&suspect);
        }
    }
    let reported = state.reported.get(&suspect);
    let is_valid = |report: &CrashReport| {
        let mut reports = reported.into_iter().flat_map(|reported| &reported.reports);
        report.suspect != suspect || reports.any(|other| other.crash == report.crash)
    };
    state.own_reports.retain(|(report, _)| is_valid(report));
}

pub(super) fn update_verdicts(state: &mut QuarantineState, now: ClockTime) {
    let (verdicts, verdict_due) = find_verdicts(state, now);
    state.verdicts = verdicts;
    state.verdict_due = verdict_due;
}
