//! State of the quarantine at one node.

use std::collections::{BTreeMap, HashMap};

use base::prelude::*;

use crate::{
    AnswerStage, CallSuspects, CrashReport, CrashSuspect, QuarantineSettings, SuspectClearance,
};

/// Number of a change of the evidence; later changes have larger ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ChangeNumber(pub u64);

/// A request, or parts of prompts, that are quarantined together.
///
/// Several parts that were reported for the same crashes can't be told apart; only requests
/// with all of them are rejected, so that an answer to one with fewer clears a sound part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashVerdict {
    /// One request, or the parts in order.
    pub suspects: Vec<CrashSuspect>,
    /// Number of crashes that they were reported for.
    pub crashes: usize,
    /// End of the quarantine unless there are further crashes.
    pub until: ClockTime,
}

/// Request in flight.
#[derive(Clone, Debug)]
pub(crate) struct RunningCall {
    pub suspects: CallSuspects,
    /// Whether a server has begun to answer it.
    pub has_begun: bool,
    /// First event of the present attempt; `None` before it.
    pub attempt_begun_at: Option<ClockTime>,
    /// Whether the present attempt's answer is sustained.
    pub is_sustained: bool,
}

/// Reports of one part or request.
#[derive(Clone, Debug)]
pub(crate) struct ReportedSuspect {
    /// Reports since the last answer, the newest last.
    pub reports: Vec<CrashReport>,
    /// Last time at which requests with it were rejected here, or another node said so.
    pub renewed_at: Option<ClockTime>,
    pub expires_at: ClockTime,
    /// Last change of the reports or of their renewal.
    pub changed: ChangeNumber,
    /// Last renewal.
    pub renewed: ChangeNumber,
    /// Hash of the reports if all nodes must know them; otherwise zero.
    pub hash: u64,
    /// Number of reports at that change.
    pub known_reports: usize,
    /// Whether another node was sent the reports.
    pub is_told: bool,
}

/// Clearance of a part or request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClearedSuspect {
    /// Instant of the answer; earlier reports are void.
    pub cleared_at: ClockTime,
    /// Last change of it.
    pub changed: ChangeNumber,
    /// Whether other nodes have reports that it voids, or are told them by a hub.
    pub is_needed: bool,
}

/// Report or clearance of this node that it sends to others.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OwnEvidence<T> {
    pub item: T,
    /// Number of times that it was sent.
    pub sends: usize,
    /// Instant at which it is sent next.
    pub due: ClockTime,
    /// Instant from which it isn't sent any more.
    pub expires_at: ClockTime,
}

impl ReportedSuspect {
    /// The reports as other nodes get them: the last one as of the last renewal, so that they
    /// remember the suspect for as long.
    pub fn renewed_reports(&self) -> impl Iterator<Item = CrashReport> {
        let last = self.reports.len().saturating_sub(1);
        let reports = self.reports.iter().enumerate();
        reports.map(move |(index, report)| {
            let renewed_at = self.renewed_at.filter(|_| index == last);
            CrashReport {
                seen_at: renewed_at.map_or(report.seen_at, |at| at.max(report.seen_at)),
                ..*report
            }
        })
    }

    /// Stage that the answers had not reached. Nodes of builds that know just the first stage pass
    /// reports on without it.
    pub fn stage(&self) -> AnswerStage {
        let stages = self.reports.iter().map(|report| report.stage);
        stages.max().unwrap_or_default()
    }
}

/// State of the quarantine at one node.
#[derive(Clone, Debug)]
pub struct QuarantineState {
    pub(crate) settings: QuarantineSettings,
    pub(crate) calls: HashMap<CallId, RunningCall>,
    pub(crate) reported: BTreeMap<CrashSuspect, ReportedSuspect>,
    /// What was cleared after reports, and when; reports from before don't count.
    pub(crate) cleared: BTreeMap<CrashSuspect, ClearedSuspect>,
    /// Last answers that servers have begun for this node's requests.
    pub(crate) answered: HashMap<CrashSuspect, ClockTime>,
    /// Reports of this node that are sent to others.
    pub(crate) own_reports: Vec<OwnEvidence<CrashReport>>,
    /// Clearances of this node that are sent to others.
    pub(crate) own_clearances: Vec<OwnEvidence<SuspectClearance>>,
    /// Last change of the evidence.
    pub(crate) last_change: ChangeNumber,
    /// Hash of the reports that all nodes must know.
    pub(crate) watched_hash: u64,
    pub(crate) verdicts: Vec<CrashVerdict>,
    /// Number of changes of the verdicts.
    pub(crate) verdict_changes: u64,
    /// Instant at which verdicts are searched again: the next one holds then if nothing clears its
    /// suspects before, or reports have changed since the last search.
    pub(crate) verdict_due: Option<ClockTime>,
    /// Whether reports that can matter for verdicts have changed since the last search.
    pub(crate) has_new_reports: bool,
    /// Instant before which verdicts aren't searched again.
    pub(crate) next_search_at: ClockTime,
    /// Instant from which some evidence may have expired.
    pub(crate) expiry_due: ClockTime,
    /// Instant before which no evidence is searched for what has expired.
    pub(crate) next_expiry_at: ClockTime,
}

impl QuarantineState {
    /// State without evidence.
    pub fn new(settings: QuarantineSettings) -> Self {
        Self {
            settings,
            calls: HashMap::new(),
            reported: BTreeMap::new(),
            cleared: BTreeMap::new(),
            answered: HashMap::new(),
            own_reports: Vec::new(),
            own_clearances: Vec::new(),
            last_change: ChangeNumber::default(),
            watched_hash: 0,
            verdicts: Vec::new(),
            verdict_changes: 0,
            verdict_due: None,
            has_new_reports: false,
            next_search_at: ClockTime::default(),
            expiry_due: ClockTime::default(),
            next_expiry_at: ClockTime::default(),
        }
    }

    /// What is quarantined now.
    pub fn verdicts(&self) -> &[CrashVerdict] {
        &self.verdicts
    }

    /// Number of changes of what is quarantined.
    pub fn verdict_changes(&self) -> u64 {
        self.verdict_changes
    }

    /// Instant at which what is quarantined may change without an event.
    pub fn verdict_due(&self) -> Option<ClockTime> {
        self.verdict_due
    }
}
