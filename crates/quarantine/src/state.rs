//! State of the quarantine at one node.

use std::collections::{BTreeMap, HashMap};

use base::prelude::*;

use crate::{AnswerStage, CallSuspects, CrashReport, CrashSuspect, QuarantineSettings};

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
    pub(crate) cleared: BTreeMap<CrashSuspect, ClockTime>,
    /// Last answers that servers have begun for this node's requests.
    pub(crate) answered: HashMap<CrashSuspect, ClockTime>,
    /// Reports of this node, and until when they are sent to others.
    pub(crate) own_reports: Vec<(CrashReport, ClockTime)>,
    pub(crate) verdicts: Vec<CrashVerdict>,
    /// Instant at which the next verdict holds if nothing clears its suspects before.
    pub(crate) verdict_due: Option<ClockTime>,
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
            verdicts: Vec::new(),
            verdict_due: None,
        }
    }

    /// What is quarantined now.
    pub fn verdicts(&self) -> &[CrashVerdict] {
        &self.verdicts
    }
}
