//! Encoding of crash reports.
//!
//! Nodes' clocks have no common origin, so times are sent as ages.

use base::prelude::*;
use prost::Message;
use quarantine::{CrashEvidence, CrashReport, PartClearance, PromptPart, ServerCrash};

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
    part: u64,
    #[prost(fixed64, tag = "2")]
    crash: u64,
    #[prost(fixed64, tag = "3")]
    request: u64,
    #[prost(uint64, tag = "4")]
    age_ms: u64,
}

#[derive(Clone, PartialEq, Message)]
struct ClearanceWire {
    #[prost(fixed64, tag = "1")]
    part: u64,
    #[prost(uint64, tag = "2")]
    age_ms: u64,
}

impl CrashesWire {
    /// Evidence as sent at an instant.
    pub fn from_evidence(evidence: &CrashEvidence, now: ClockTime) -> Self {
        let age_ms = |at: ClockTime| now.since(at).as_millis() as u64;
        let reports = evidence.reports.iter().map(|report| ReportWire {
            part: report.part.0,
            crash: report.crash.0,
            request: report.request.0,
            age_ms: age_ms(report.seen_at),
        });
        let clearances = evidence.clearances.iter().map(|clearance| ClearanceWire {
            part: clearance.part.0,
            age_ms: age_ms(clearance.cleared_at),
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
                part: PromptPart(wire.part),
                crash: ServerCrash(wire.crash),
                request: PromptPart(wire.request),
                seen_at: instant(wire.age_ms)?,
            })
        });
        let clearances = self.clearances.into_iter().filter_map(|wire| {
            Some(PartClearance {
                part: PromptPart(wire.part),
                cleared_at: instant(wire.age_ms)?,
            })
        });
        CrashEvidence {
            reports: reports.collect(),
            clearances: clearances.collect(),
        }
    }
}
