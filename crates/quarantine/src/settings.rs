//! Thresholds, durations and limits.

use base::prelude::*;

/// Crashes without an answer in between after which a part is quarantined.
const MIN_CRASHES: usize = 3;
/// Different requests among them.
const MIN_REQUESTS: usize = 2;
/// Crashes within this time count as one, since servers that fail together for another reason
/// were sent many parts at the same moment.
const SIMULTANEOUS_CRASHES: Duration = Duration::from_millis(250);
/// Time after the last crash that a verdict needs, in which nodes that have seen an answer since
/// say so.
const SETTLING_TIME: Duration = Duration::from_millis(400);
/// Crashes after which a verdict needs no such time.
const CERTAIN_CRASHES: usize = 5;
/// Time after its last report for which a part is remembered, and quarantined if it is.
const RETENTION: Duration = Duration::from_secs(60);
/// Time for which this node's reports are sent to other nodes.
const RESEND_DURATION: Duration = Duration::from_secs(2);
/// Age of an answer up to which a part is not suspected after its first reports.
const RECENT_ANSWER: Duration = Duration::from_secs(2);
/// Reported parts that are remembered.
const MAX_REPORTED_PARTS: usize = 512;
/// Reports of one part that are remembered.
const MAX_REPORTS_PER_PART: usize = 8;
/// Answered parts that are remembered.
const MAX_ANSWERED_PARTS: usize = 4_096;

/// Thresholds, durations and limits.
#[derive(Clone, Debug)]
pub struct QuarantineSettings {
    /// Crashes without an answer in between after which a part is quarantined.
    pub min_crashes: usize,
    /// Different requests among them.
    pub min_requests: usize,
    /// Time within which crashes count as one.
    pub simultaneous_crashes: Duration,
    /// Time after the last crash that a verdict needs before it holds.
    pub settling_time: Duration,
    /// Crashes after which a verdict needs no such time.
    pub certain_crashes: usize,
    /// Time after its last report for which a part is remembered.
    pub retention: Duration,
    /// Time for which this node's reports are sent to other nodes.
    pub resend_duration: Duration,
    /// Age of an answer up to which a part is not suspected.
    pub recent_answer: Duration,
    /// Reported parts that are remembered.
    pub max_reported_parts: usize,
    /// Reports of one part that are remembered.
    pub max_reports_per_part: usize,
    /// Answered parts that are remembered.
    pub max_answered_parts: usize,
}

impl Default for QuarantineSettings {
    fn default() -> Self {
        Self {
            min_crashes: MIN_CRASHES,
            min_requests: MIN_REQUESTS,
            simultaneous_crashes: SIMULTANEOUS_CRASHES,
            settling_time: SETTLING_TIME,
            certain_crashes: CERTAIN_CRASHES,
            retention: RETENTION,
            resend_duration: RESEND_DURATION,
            recent_answer: RECENT_ANSWER,
            max_reported_parts: MAX_REPORTED_PARTS,
            max_reports_per_part: MAX_REPORTS_PER_PART,
            max_answered_parts: MAX_ANSWERED_PARTS,
        }
    }
}
