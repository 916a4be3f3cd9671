//! Encoding of crash reports.
//!
//! Nodes' clocks have no common origin, so times are sent as ages.

use base::prelude::*;
use prost::Message;
use quarantine::{
    AnswerStage, CrashEvidence, CrashReport, CrashSuspect, PromptPart, RequestDigest, ServerCrash,
    SuspectClearance,
};

#[derive(Clone, PartialEq, Message)]
pub(super) struct CrashesWire {
    #[prost(message, repeated, tag = "1")]
    reports: Vec<ReportWire>,
    #[prost(message, repeated, tag = "2")]
    clearances: Vec<ClearanceWire>,
}

#[derive(Clone, PartialEq, Message)]
struct ReportWire {
    #[prost(fixed64, tag = "1")]
    suspect: u64,
    #[prost(fixed64, tag = "2")]
    crash: u64,
    #[prost(fixed64, tag = "3")]
    request: u64,
    #[prost(uint64, tag = "4")]
    age_ms: u64,
    #[prost(bool, tag = "5")]
    is_request: bool,
    #[prost(uint64, tag = "6")]
    sent_age_ms: u64,
    /// Zero for reports of older builds, which know the first stage only.
    #[prost(uint32, tag = "7")]
    stage: u32,
}

#[derive(Clone, PartialEq, Message)]
struct ClearanceWire {
    #[prost(fixed64, tag = "1")]
    suspect: u64,
    #[prost(uint64, tag = "2")]
    age_ms: u64,
    #[prost(bool, tag = "3")]
    is_request: bool,
}

/// Number of a suspect, and whether it is a request.
fn suspect_fields(suspect: CrashSuspect) -> (u64, bool) {
    match suspect {
        CrashSuspect::Part(part) => (part.0, false),
        CrashSuspect::Request(digest) => (digest.0, true),
    }
}

fn suspect_of(number: u64, is_request: bool) -> CrashSuspect {
    if is_request {
        CrashSuspect::Request(RequestDigest(number))
    } else {
        CrashSuspect::Part(PromptPart(number))
    }
}

/// Stage with a number; an unknown one is taken for the last, which needs most crashes.
fn stage_of(number: u32) -> AnswerStage {
    let stages = AnswerStage::ALL.into_iter();
    let mut stages = stages.filter(|stage| *stage as u32 == number);
    stages.next().unwrap_or(AnswerStage::Whole)
}

impl CrashesWire {
    /// Evidence as sent at an instant.
    pub fn from_evidence(evidence: &CrashEvidence, now: ClockTime) -> Self {
        let age_ms = |at: ClockTime| now.since(at).as_millis() as u64;
        let reports = evidence.reports.iter().map(|report| {
            let (suspect, is_request) = suspect_fields(report.suspect);
            ReportWire {
                suspect,
                is_request,
                crash: report.crash.0,
                request: report.request.0,
                age_ms: age_ms(report.seen_at),
                sent_age_ms: age_ms(report.sent_at),
                stage: report.stage as u32,
            }
        });
        let clearances = evidence.clearances.iter().map(|clearance| {
            let (suspect, is_request) = suspect_fields(clearance.suspect);
            ClearanceWire {
                suspect,
                is_request,
                age_ms: age_ms(clearance.cleared_at),
            }
        });
        Self {
            reports: reports.collect(),
            clearances: clearances.collect(),
        }
    }

    /// Evidence as received at an instant, without what is older than the clock.
    pub fn into_evidence(self, now: ClockTime) -> CrashEvidence {
        let instant = |age_ms: u64| {
            let age = Duration::from_millis(age_ms);
            let at = now.before(age);
            (now.since(at) == age).then_some(at)
        };
        let reports = self.reports.into_iter().filter_map(|wire| {
            Some(CrashReport {
                suspect: suspect_of(wire.suspect, wire.is_request),
                stage: stage_of(wire.stage),
                crash: ServerCrash(wire.crash),
                request: RequestDigest(wire.request),
                seen_at: instant(wire.age_ms)?,
                sent_at: now.before(Duration::from_millis(wire.sent_age_ms)),
            })
        });
        let clearances = self.clearances.into_iter().filter_map(|wire| {
            Some(SuspectClearance {
                suspect: suspect_of(wire.suspect, wire.is_request),
                cleared_at: instant(wire.age_ms)?,
            })
        });
        CrashEvidence {
            reports: reports.collect(),
            clearances: clearances.collect(),
        }
    }
}
