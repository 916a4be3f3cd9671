//! Evidence of this and other nodes.

use base::prelude::*;

use crate::queries::find_verdicts;
use crate::state::ReportedPart;
use crate::{CrashEvidence, CrashReport, PromptPart, QuarantineState};

/// Adds another node's evidence.
pub fn merge_evidence(state: &mut QuarantineState, evidence: &CrashEvidence, now: ClockTime) {
    for clearance in &evidence.clearances {
        let cleared_at = state.cleared.get(&clearance.part);
        if cleared_at.is_none_or(|at| *at < clearance.cleared_at) {
            clear_part(state, clearance.part, clearance.cleared_at);
        }
    }
    for report in &evidence.reports {
        let answered_at = state.answered.get(&report.part).copied();
        match answered_at.filter(|at| *at > report.seen_at) {
            // Other nodes need the clearance too.
            Some(at) => clear_part(state, report.part, at),
            None => {
                add_report(state, *report);
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

/// Adds a report unless it is known or void; returns whether it is new.
pub(super) fn add_report(state: &mut QuarantineState, report: CrashReport) -> bool {
    let cleared_at = state.cleared.get(&report.part);
    if cleared_at.is_some_and(|at| *at >= report.seen_at) {
        return false;
    }
    let settings = &state.settings;
    let expires_at = report.seen_at + settings.retention;
    let is_new_part = !state.reported.contains_key(&report.part);
    if is_new_part && state.reported.len() >= settings.max_reported_parts {
        forget_oldest_part(state);
    }
    let max_reports = state.settings.max_reports_per_part;
    let reported = state
        .reported
        .entry(report.part)
        .or_insert_with(|| ReportedPart {
            reports: Vec::new(),
            expires_at,
        });
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
        reported.reports.remove(0);
    }
    true
}

fn forget_oldest_part(state: &mut QuarantineState) {
    let oldest = state
        .reported
        .iter()
        .min_by_key(|(_, reported)| (reported.reports.len(), reported.expires_at));
    if let Some(part) = oldest.map(|(part, _)| *part) {
        state.reported.remove(&part);
    }
}

/// Voids the reports of a part up to an instant.
pub(super) fn clear_part(state: &mut QuarantineState, part: PromptPart, cleared_at: ClockTime) {
    if state.cleared.len() >= state.settings.max_reported_parts {
        let oldest = state.cleared.iter().min_by_key(|(_, at)| **at);
        if let Some(part) = oldest.map(|(part, _)| *part) {
            state.cleared.remove(&part);
        }
    }
    let entry = state.cleared.entry(part).or_insert(cleared_at);
    *entry = (*entry).max(cleared_at);
    if let Some(reported) = state.reported.get_mut(&part) {
        reported
            .reports
            .retain(|report| report.seen_at > cleared_at);
        if reported.reports.is_empty() {
            state.reported.remove(&part);
        }
    }
    let is_valid = |report: &CrashReport| report.part != part || report.seen_at > cleared_at;
    state.own_reports.retain(|(report, _)| is_valid(report));
}

pub(super) fn update_verdicts(state: &mut QuarantineState, now: ClockTime) {
    let (verdicts, verdict_due) = find_verdicts(state, now);
    state.verdicts = verdicts;
    state.verdict_due = verdict_due;
}
