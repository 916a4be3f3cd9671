//! Thresholds, durations and limits.

use base::prelude::*;

/// Crashes without an answer in between after which a part or a request is quarantined.
const MIN_CRASHES: usize = 3;
/// Different requests among the crashes of a part.
const MIN_REQUESTS: usize = 2;
/// Crashes within this time count as one for a part, since servers that fail together for another reason
/// were sent many parts at the same moment.
const SIMULTANEOUS_CRASHES: Duration = Duration::from_millis(250);
/// Time after the last crash that a verdict needs, in which nodes that have seen an answer since
/// say so.
const SETTLING_TIME: Duration = Duration::from_millis(400);
/// The same for a verdict about a request. Answers at any of hundreds of nodes clear a request
/// that many callers send, and reach the others by way of two hubs.
const REQUEST_SETTLING_TIME: Duration = Duration::from_millis(1_000);
/// The same for a verdict about crashes before an answer was sustained or whole, which answers to
/// other requests take longer to clear.
const LATE_SETTLING_TIME: Duration = Duration::from_millis(1_200);
/// Time from the first event of an answer after which it is sustained. A server that crashes as it
/// begins to answer has crashed by then.
const SUSTAINED_ANSWER: Duration = Duration::from_millis(1_000);
/// Largest error of the times in other nodes' reports: ages in whole milliseconds, without the time
/// for which the message was under way.
const REPORT_TIME_ERROR: Duration = Duration::from_millis(20);
/// Crashes after sustained answers from which a part or request is quarantined. Long answers are
/// cut by unrelated crashes more often than short ones.
const MIN_LATE_CRASHES: usize = 5;
/// Crashes after which a verdict needs no such time.
const CERTAIN_CRASHES: usize = 5;
/// Time after its last report or rejection for which a part or request is remembered.
const RETENTION: Duration = Duration::from_secs(60);
/// Interval at which rejections of a part or request are passed on, so that no node forgets it.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(20);
/// Time for which this node's reports are sent to other nodes; silent connections between them are
/// replaced within two seconds.
const RESEND_DURATION: Duration = Duration::from_secs(3);
/// Age of an answer up to which a part or request is not suspected after its first reports.
const RECENT_ANSWER: Duration = Duration::from_secs(2);
/// Reported parts and requests that are remembered.
const MAX_REPORTED_SUSPECTS: usize = 2_048;
/// Reports of one part or request that are remembered.
const MAX_REPORTS_PER_SUSPECT: usize = 12;
/// Answered parts and requests that are remembered.
const MAX_ANSWERED_SUSPECTS: usize = 8_192;

/// Thresholds, durations and limits.
#[derive(Clone, Debug)]
pub struct QuarantineSettings {
    /// Crashes without an answer in between after which a part or a request is quarantined.
    pub min_crashes: usize,
    /// Different requests among the crashes of a part.
    pub min_requests: usize,
    /// Time within which crashes count as one for a part.
    pub simultaneous_crashes: Duration,
    /// Time after the last crash that a verdict needs before it holds.
    pub settling_time: Duration,
    /// The same for a verdict about a request; after `certain_crashes` it runs from the first.
    pub request_settling_time: Duration,
    /// Largest error of the times in other nodes' reports.
    pub report_time_error: Duration,
    /// Time after the last crash that a verdict needs if the answers had begun.
    pub late_settling_time: Duration,
    /// Time from the first event of an answer after which it is sustained.
    pub sustained_answer: Duration,
    /// Crashes from which a part or request is quarantined if only whole answers clear it.
    pub min_late_crashes: usize,
    /// Crashes after which a verdict about a part needs no such time.
    pub certain_crashes: usize,
    /// Time after its last report or rejection for which a part or request is remembered.
    pub retention: Duration,
    /// Interval at which rejections of a part or request are passed on.
    pub renewal_interval: Duration,
    /// Time for which this node's reports are sent to other nodes.
    pub resend_duration: Duration,
    /// Age of an answer up to which a part or request is not suspected.
    pub recent_answer: Duration,
    /// Reported parts and requests that are remembered.
    pub max_reported_suspects: usize,
    /// Reports of one part or request that are remembered.
    pub max_reports_per_suspect: usize,
    /// Answered parts and requests that are remembered.
    pub max_answered_suspects: usize,
}

impl Default for QuarantineSettings {
    fn default() -> Self {
        Self {
            min_crashes: MIN_CRASHES,
            min_requests: MIN_REQUESTS,
            simultaneous_crashes: SIMULTANEOUS_CRASHES,
            settling_time: SETTLING_TIME,
            request_settling_time: REQUEST_SETTLING_TIME,
            report_time_error: REPORT_TIME_ERROR,
            late_settling_time: LATE_SETTLING_TIME,
            sustained_answer: SUSTAINED_ANSWER,
            min_late_crashes: MIN_LATE_CRASHES,
            certain_crashes: CERTAIN_CRASHES,
            retention: RETENTION,
            renewal_interval: RENEWAL_INTERVAL,
            resend_duration: RESEND_DURATION,
            recent_answer: RECENT_ANSWER,
            max_reported_suspects: MAX_REPORTED_SUSPECTS,
            max_reports_per_suspect: MAX_REPORTS_PER_SUSPECT,
            max_answered_suspects: MAX_ANSWERED_SUSPECTS,
        }
    }
}
