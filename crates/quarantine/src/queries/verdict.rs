//! Which parts are quarantined, and what that means for a request.

use std::collections::BTreeSet;

use base::prelude::*;

use crate::state::ReportedPart;
use crate::{
    CrashReport, PartVerdict, PromptPart, PromptParts, QuarantineSettings, QuarantineState,
    ServerCrash,
};

/// Verdict because of which a request with these parts is rejected; `None` if it may be sent.
pub fn blocking_verdict<'a>(
    state: &'a QuarantineState,
    parts: &PromptParts,
) -> Option<&'a PartVerdict> {
    let is_blocked =
        |verdict: &&PartVerdict| verdict.parts.iter().all(|part| parts.shared.contains(part));
    state.verdicts.iter().find(is_blocked)
}

/// Whether a request in flight, which no server has begun to answer, has quarantined parts.
pub fn is_call_blocked(state: &QuarantineState, call: CallId) -> bool {
    let prompt = state.calls.get(&call).filter(|prompt| !prompt.has_begun);
    prompt.is_some_and(|prompt| blocking_verdict(state, &prompt.parts).is_some())
}

/// Whether a request whose server crashed may be sent to another one.
///
/// It may not if one of its parts was reported for another request and another crash, without a
/// recent answer: it would rather crash the next server too.
pub fn may_resend(
    state: &QuarantineState,
    call: CallId,
    crash: ServerCrash,
    now: ClockTime,
) -> bool {
    let Some(prompt) = state.calls.get(&call).filter(|prompt| !prompt.has_begun) else {
        return true;
    };
    let is_suspect = |part: &PromptPart| {
        let answered_at = state.answered.get(part);
        let is_answered =
            answered_at.is_some_and(|at| now.since(*at) < state.settings.recent_answer);
        let reports = state.reported.get(part).map(|reported| &reported.reports);
        let mut reports = reports.into_iter().flatten();
        !is_answered
            && reports
                .any(|report| report.crash != crash && Some(report.request) != prompt.parts.own)
    };
    blocking_verdict(state, &prompt.parts).is_none() && !prompt.parts.shared.iter().any(is_suspect)
}

/// Part that explains several crashes.
#[derive(Clone)]
struct VerdictCandidate {
    part: PromptPart,
    crashes: BTreeSet<ServerCrash>,
    /// Number of different requests among them.
    requests: usize,
    /// Instant from which a verdict holds.
    settled_at: ClockTime,
    expires_at: ClockTime,
}

/// Fewest parts that explain the reported crashes, and the instant at which further verdicts are
/// due.
///
/// A part that was reported beside the one that crashes servers is not quarantined, as its
/// crashes are explained already.
pub fn find_verdicts(
    state: &QuarantineState,
    now: ClockTime,
) -> (Vec<PartVerdict>, Option<ClockTime>) {
    let mut explained = BTreeSet::new();
    let mut skipped = BTreeSet::new();
    let mut verdicts = Vec::new();
    let mut verdict_due: Option<ClockTime> = None;
    loop {
        let reported = state.reported.iter();
        let reported = reported.filter(|(part, _)| !skipped.contains(*part));
        let candidates: Vec<_> = reported
            .filter_map(|(part, reported)| {
                verdict_candidate(&state.settings, *part, reported, &explained)
            })
            .collect();
        let Some(best) = candidates
            .iter()
            .max_by_key(|candidate| (candidate.crashes.len(), candidate.expires_at))
        else {
            return (verdicts, verdict_due);
        };
        let same = candidates
            .iter()
            .filter(|other| is_nearly_same(&other.crashes, &best.crashes));
        let parts: Vec<_> = same.clone().map(|candidate| candidate.part).collect();
        // One request alone proves nothing about the parts that others share with it.
        if same.map(|candidate| candidate.requests).max() < Some(state.settings.min_requests) {
            skipped.extend(parts);
            continue;
        }
        explained.extend(best.crashes.iter().copied());
        if best.settled_at > now {
            let due = verdict_due.map_or(best.settled_at, |due| due.min(best.settled_at));
            verdict_due = Some(due);
            continue;
        }
        verdicts.push(PartVerdict {
            parts,
            crashes: best.crashes.len(),
            until: best.expires_at,
        });
    }
}

/// Whether two parts were reported for the same crashes, but for one at each.
///
/// Either may have been a bystander of one more crash.
fn is_nearly_same(one: &BTreeSet<ServerCrash>, other: &BTreeSet<ServerCrash>) -> bool {
    one.difference(other).count() <= 1 && other.difference(one).count() <= 1
}

/// Part with the crashes that no other one explains, if they are enough to quarantine it.
fn verdict_candidate(
    settings: &QuarantineSettings,
    part: PromptPart,
    reported: &ReportedPart,
    explained: &BTreeSet<ServerCrash>,
) -> Option<VerdictCandidate> {
    let reports = reported.reports.iter();
    let reports: Vec<_> = reports
        .filter(|report| !explained.contains(&report.crash))
        .collect();
    let separate = separate_crashes(settings, &reports);
    let last_needed_at = *separate.get(settings.min_crashes - 1)?;
    let settled_at = if separate.len() >= settings.certain_crashes {
        last_needed_at
    } else {
        last_needed_at + settings.settling_time
    };
    let requests: BTreeSet<_> = reports.iter().map(|report| report.request).collect();
    Some(VerdictCandidate {
        part,
        crashes: reports.iter().map(|report| report.crash).collect(),
        requests: requests.len(),
        settled_at,
        expires_at: reported.expires_at,
    })
}

/// Instants of different crashes, of which those at the same time count as one.
fn separate_crashes(settings: &QuarantineSettings, reports: &[&CrashReport]) -> Vec<ClockTime> {
    let mut instants: Vec<ClockTime> = Vec::new();
    for report in reports {
        let is_separate = instants
            .last()
            .is_none_or(|at| report.seen_at.since(*at) >= settings.simultaneous_crashes);
        if is_separate {
            instants.push(report.seen_at);
        }
    }
    instants
}
