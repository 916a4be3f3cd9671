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

/// Fewest parts that explain the reported crashes.
///
/// A part that was reported beside the one that crashes servers is not quarantined, as its
/// crashes are explained already.
pub fn find_verdicts(state: &QuarantineState) -> Vec<PartVerdict> {
    let mut explained = BTreeSet::new();
    let mut verdicts = Vec::new();
    loop {
        let candidates = state.reported.iter().filter_map(|(part, reported)| {
            let crashes = unexplained_crashes(&state.settings, reported, &explained)?;
            Some((*part, reported.expires_at, crashes))
        });
        let candidates: Vec<_> = candidates.collect();
        let Some((_, until, crashes)) = (candidates.iter())
            .max_by_key(|(_, until, crashes)| (crashes.len(), *until))
            .cloned()
        else {
            return verdicts;
        };
        let same = candidates
            .iter()
            .filter(|(.., other)| is_nearly_same(other, &crashes));
        verdicts.push(PartVerdict {
            parts: same.map(|(part, ..)| *part).collect(),
            crashes: crashes.len(),
            until,
        });
        explained.extend(crashes);
    }
}

/// Whether two parts were reported for the same crashes, but for one at each.
///
/// Either may have been a bystander of one more crash.
fn is_nearly_same(one: &BTreeSet<ServerCrash>, other: &BTreeSet<ServerCrash>) -> bool {
    one.difference(other).count() <= 1 && other.difference(one).count() <= 1
}

/// Crashes of a part that no other one explains, if they are enough to quarantine it.
fn unexplained_crashes(
    settings: &QuarantineSettings,
    reported: &ReportedPart,
    explained: &BTreeSet<ServerCrash>,
) -> Option<BTreeSet<ServerCrash>> {
    let reports = reported.reports.iter();
    let reports: Vec<_> = reports
        .filter(|report| !explained.contains(&report.crash))
        .collect();
    let requests: BTreeSet<_> = reports.iter().map(|report| report.request).collect();
    let is_enough = requests.len() >= settings.min_requests
        && count_separate(settings, &reports) >= settings.min_crashes;
    is_enough.then(|| reports.iter().map(|report| report.crash).collect())
}

/// Number of different crashes, of which those at the same time count as one.
fn count_separate(settings: &QuarantineSettings, reports: &[&CrashReport]) -> usize {
    let mut counted: BTreeSet<ServerCrash> = BTreeSet::new();
    let mut counted_at: Option<ClockTime> = None;
    for report in reports {
        let is_separate =
            counted_at.is_none_or(|at| report.seen_at.since(at) >= settings.simultaneous_crashes);
        if is_separate && counted.insert(report.crash) {
            counted_at = Some(report.seen_at);
        }
    }
    counted.len()
}
