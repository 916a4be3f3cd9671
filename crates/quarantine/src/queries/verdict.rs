//! Which requests and parts are quarantined, and what that means for a request.

use std::collections::BTreeSet;

use base::prelude::*;

use crate::state::ReportedSuspect;
use crate::{
    AnswerStage, CallSuspects, CrashReport, CrashSuspect, CrashVerdict, QuarantineSettings,
    QuarantineState, ServerCrash,
};

/// Verdict because of which a request is rejected; `None` if it may be sent.
pub fn blocking_verdict<'a>(
    state: &'a QuarantineState,
    suspects: &CallSuspects,
) -> Option<&'a CrashVerdict> {
    let is_blocked = |verdict: &&CrashVerdict| {
        let mut blocked = verdict.suspects.iter();
        let is_of_call = |suspect: &CrashSuspect| {
            let mut stages = AnswerStage::ALL.into_iter();
            stages.any(|stage| suspects.before(stage).any(|other| other == *suspect))
        };
        blocked.all(is_of_call)
    };
    state.verdicts.iter().find(is_blocked)
}

/// Whether a request in flight, which no server has begun to answer, is quarantined or has
/// quarantined parts.
pub fn is_call_blocked(state: &QuarantineState, call: CallId) -> bool {
    let running = state.calls.get(&call).filter(|call| !call.has_begun);
    running.is_some_and(|running| blocking_verdict(state, &running.suspects).is_some())
}

/// Whether a request whose server crashed may be sent to another one.
///
/// One that a server had begun to answer may, until it is quarantined or has lost many servers soon
/// after they began: its stream would be cut, and it is more often a bystander than the cause. Any
/// other may not if it was reported for another crash, or one of its parts for another request and
/// another crash, without a recent answer: it would rather crash the next server too.
pub fn may_resend(
    state: &QuarantineState,
    call: CallId,
    crash: ServerCrash,
    now: ClockTime,
) -> bool {
    let Some(running) = state.calls.get(&call) else {
        return true;
    };
    let digest = running.suspects.digest;
    if running.has_begun {
        let request = CrashSuspect::Request(digest).before(AnswerStage::Sustained);
        let reported = state.reported.get(&request);
        let crashes = reported.map_or(0, |reported| reported.reports.len());
        return crashes < state.settings.certain_crashes
            && blocking_verdict(state, &running.suspects).is_none();
    }
    let is_suspected = |suspect: CrashSuspect| {
        let answered_at = state.answered.get(&suspect);
        let is_answered =
            answered_at.is_some_and(|at| now.since(*at) < state.settings.recent_answer);
        let is_request = matches!(suspect, CrashSuspect::Request(_));
        let reports = state.reported.get(&suspect);
        let mut reports = reports.into_iter().flat_map(|reported| &reported.reports);
        !is_answered
            && reports
                .any(|report| report.crash != crash && (is_request || report.request != digest))
    };
    let suspects = &running.suspects;
    blocking_verdict(state, suspects).is_none() && !suspects.iter().any(is_suspected)
}

/// Part or request that explains several crashes.
#[derive(Clone)]
struct VerdictCandidate {
    suspect: CrashSuspect,
    crashes: BTreeSet<ServerCrash>,
    /// Number of different requests among them.
    requests: usize,
    /// Instant from which a verdict holds.
    settled_at: ClockTime,
    /// Instant until which it holds.
    ends_at: ClockTime,
}

/// Fewest parts and requests that explain the reported crashes, and the instant at which further
/// verdicts are due.
///
/// A part that was reported beside the one that crashes servers is not quarantined, as its
/// crashes are explained already. Where one request explains the crashes as well as the parts
/// of its prompt do, only the request is quarantined.
pub fn find_verdicts(
    state: &QuarantineState,
    now: ClockTime,
) -> (Vec<CrashVerdict>, Option<ClockTime>) {
    let mut search = VerdictSearch::default();
    // What crashes servers before an answer begins explains the crashes of answers that had begun.
    for stage in AnswerStage::ALL {
        search.find_before(state, stage, now);
    }
    (search.verdicts, search.verdict_due)
}

/// Search for the verdicts that explain all crashes.
#[derive(Default)]
struct VerdictSearch {
    explained: BTreeSet<ServerCrash>,
    verdicts: Vec<CrashVerdict>,
    verdict_due: Option<ClockTime>,
}

impl VerdictSearch {
    /// Adds the verdicts about crashes before a stage of the answers.
    fn find_before(&mut self, state: &QuarantineState, stage: AnswerStage, now: ClockTime) {
        let settings = &state.settings;
        let min_crashes = min_crashes(settings, stage);
        let candidate_of = |suspect, reported, explained: &BTreeSet<ServerCrash>| {
            verdict_candidate(settings, suspect, reported, explained)
                .filter(|candidate| candidate.ends_at > now)
        };
        let reported = state.reported.iter();
        let reported = reported.filter(|(_, reported)| {
            reported.reports.len() >= min_crashes && reported.stage() == stage
        });
        let mut candidates: Vec<_> = reported
            .filter_map(|(suspect, reported)| candidate_of(*suspect, reported, &self.explained))
            .collect();
        while let Some(most) = most_crashes(candidates.iter()) {
            let same = candidates
                .iter()
                .filter(|other| is_nearly_same(&other.crashes, &most.crashes));
            let request = most_crashes(same.clone().filter(|candidate| candidate.is_request()));
            let (best, suspects) = match request {
                Some(request) => (request, vec![request.suspect]),
                None => (
                    most,
                    same.clone().map(|candidate| candidate.suspect).collect(),
                ),
            };
            // One request alone proves nothing about the parts that others share with it.
            let is_proven = request.is_some()
                || same.map(|candidate| candidate.requests).max() >= Some(settings.min_requests);
            if !is_proven {
                candidates.retain(|candidate| !suspects.contains(&candidate.suspect));
                continue;
            }
            let explained = best.crashes.clone();
            self.explained.extend(explained.iter().copied());
            if best.settled_at > now {
                let due = self.verdict_due.unwrap_or(best.settled_at);
                self.verdict_due = Some(due.min(best.settled_at));
            } else {
                self.verdicts.push(CrashVerdict {
                    suspects,
                    crashes: best.crashes.len(),
                    until: best.ends_at,
                });
            }
            // Only suspects of these crashes change; fewer crashes never make a new candidate.
            candidates.retain_mut(|candidate| {
                if candidate.crashes.is_disjoint(&explained) {
                    return true;
                }
                let reported = state.reported.get(&candidate.suspect);
                let remaining = reported.and_then(|reported| {
                    candidate_of(candidate.suspect, reported, &self.explained)
                });
                remaining.map(|remaining| *candidate = remaining).is_some()
            });
        }
    }
}

impl VerdictCandidate {
    fn is_request(&self) -> bool {
        matches!(self.suspect, CrashSuspect::Request(_))
    }
}

/// Candidate that explains most crashes, and the latest among equals.
fn most_crashes<'a>(
    candidates: impl Iterator<Item = &'a VerdictCandidate>,
) -> Option<&'a VerdictCandidate> {
    candidates.max_by_key(|candidate| (candidate.crashes.len(), candidate.ends_at))
}

/// Whether two suspects were reported for the same crashes, but for one at each.
///
/// Either may have been a bystander of one more crash.
fn is_nearly_same(one: &BTreeSet<ServerCrash>, other: &BTreeSet<ServerCrash>) -> bool {
    one.len().abs_diff(other.len()) <= 1
        && one.difference(other).count() <= 1
        && other.difference(one).count() <= 1
}

/// Crashes before a stage from which a part or request is quarantined.
pub(super) fn min_crashes(settings: &QuarantineSettings, stage: AnswerStage) -> usize {
    match stage {
        AnswerStage::Begun | AnswerStage::Sustained => settings.min_crashes,
        AnswerStage::Whole => settings.min_late_crashes,
    }
}

/// Suspect with the crashes that no other one explains, if they are enough to quarantine it.
fn verdict_candidate(
    settings: &QuarantineSettings,
    suspect: CrashSuspect,
    reported: &ReportedSuspect,
    explained: &BTreeSet<ServerCrash>,
) -> Option<VerdictCandidate> {
    let stage = reported.stage();
    let min_crashes = min_crashes(settings, stage);
    if reported.reports.len() < min_crashes {
        return None;
    }
    let reports = reported.reports.iter();
    let reports: Vec<_> = reports
        .filter(|report| !explained.contains(&report.crash))
        .collect();
    let separate = match suspect {
        CrashSuspect::Part(_) => separate_crashes(settings, &reports),
        CrashSuspect::Request(_) => successive_crashes(settings, &reports),
    };
    let first_at = *separate.first()?;
    let last_needed_at = *separate.get(min_crashes - 1)?;
    let is_certain = separate.len() >= settings.certain_crashes;
    let settled_at = match suspect {
        _ if stage > AnswerStage::Begun => last_needed_at + settings.late_settling_time,
        CrashSuspect::Part(_) if is_certain => last_needed_at,
        CrashSuspect::Part(_) => last_needed_at + settings.settling_time,
        CrashSuspect::Request(_) if is_certain => {
            last_needed_at.max(first_at + settings.request_settling_time)
        }
        CrashSuspect::Request(_) => last_needed_at + settings.request_settling_time,
    };
    // A few crashes may have had another cause, so the next request is a trial; its crash would add
    // to those that are remembered.
    let last_at = reports.last()?.seen_at;
    let ends_at = match is_certain {
        true => reported.expires_at,
        false => reported.expires_at.min(last_at + settings.retention),
    };
    let requests: BTreeSet<_> = reports.iter().map(|report| report.request).collect();
    Some(VerdictCandidate {
        suspect,
        crashes: reports.iter().map(|report| report.crash).collect(),
        requests: requests.len(),
        settled_at,
        ends_at,
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

/// Instants of crashes of which each server got the request after the crash before.
///
/// A request that many callers send is at several servers at a time, which may fail together; a
/// request that crashes one server after the other may do so within milliseconds, and then the
/// errors of reported times are larger than the time between a crash and the next attempt.
fn successive_crashes(settings: &QuarantineSettings, reports: &[&CrashReport]) -> Vec<ClockTime> {
    let mut instants: Vec<ClockTime> = Vec::new();
    for report in reports {
        let latest_sent_at = report.sent_at + settings.report_time_error;
        if instants.last().is_none_or(|at| latest_sent_at >= *at) {
            instants.push(report.seen_at);
        }
    }
    instants
}
