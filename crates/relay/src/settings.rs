//! Timeouts and limits of forwarding.

use base::prelude::*;

/// Silence of a target after which its running streams move to another one; the slowest usual
/// pass of an engine takes about 300 ms.
const STREAM_STALL_TIMEOUT: Duration = Duration::from_millis(500);
/// The same for a stream without a first event, which may still be queued.
const QUEUED_STALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Silence of a running stream after which its target is suspect; events usually arrive every
/// 60 ms.
const STREAM_SUSPECT_TIMEOUT: Duration = Duration::from_millis(160);
/// Wait for a first event after which a target that sends no data at all is suspect.
const FIRST_EVENT_SUSPECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time for which a suspect target is avoided; every check that finds it silent renews it.
const SUSPECT_DURATION: Duration = Duration::from_millis(200);
/// Fraction of a plain route's objective after which a request of a silent target moves.
const PLAIN_STALL_FRACTION: f64 = 0.7;
/// Interval between stall checks of a waiting request.
const CHECK_INTERVAL: Duration = Duration::from_millis(60);
/// Time for which a target is avoided after its first failure; doubles with each failure.
const MIN_AVOID_DURATION: Duration = Duration::from_millis(500);
/// Longest time for which a failed target is avoided.
const MAX_AVOID_DURATION: Duration = Duration::from_secs(4);
/// Time for which a target that was too full to run a request is avoided.
const FULL_AVOID_DURATION: Duration = Duration::from_millis(100);
/// Time for which another node's counts are valid.
const REMOTE_COUNTS_VALIDITY: Duration = Duration::from_millis(1_000);
/// Time for which a target's reported load is valid; the owner probes again within it.
const REPORTED_LOAD_VALIDITY: Duration = Duration::from_millis(450);
/// Attempts that may end without a run before the request is refused.
const MAX_REJECTIONS: u32 = 3;
/// Attempts that may reach another server than the one meant before the request is refused.
/// Two of them show that this node's targets are outdated.
const MAX_MISDIRECTIONS: u32 = 1;
/// Least time before the deadline with which an attempt is made.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(20);
/// Requests per slot of an engine above which it is sent no new ones.
const MAX_ENGINE_UTILIZATION: f64 = 2.5;
/// Fast-lane requests per slot of an engine above which new requests take the slow lane.
const MAX_FAST_UTILIZATION: f64 = 1.05;
/// Requests per slot of all engines that can run a request from which it is admitted by
/// prediction. Requests end and arrive at random, so groups with 17 slots are all taken at times
/// from about this load on.
const ADMISSION_UTILIZATION: f64 = 0.85;
/// Slots of an engine from which its requests are admitted by prediction. What arrives and ends
/// between two counts varies by the root of its number. On a deployment with 20 slots, refusals by
/// chance cost more than the overload that they prevented.
const ADMISSION_MIN_SLOTS: usize = 24;
/// Weight of a slow-lane request in the fast lane's utilization, since it may occupy a slot.
const SLOW_LANE_WEIGHT: f64 = 0.3;
/// Requests per slot of a plain server above which it is sent no new ones.
const MAX_PLAIN_UTILIZATION: f64 = 4.0;
/// Utilization added to a target in another failure domain.
const CROSS_DOMAIN_PENALTY: f64 = 0.06;
/// Delay after which a refused client may retry.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// Timeouts and limits of forwarding.
#[derive(Clone, Debug)]
pub struct RelaySettings {
    /// Silence of a target after which its running streams move to another one.
    pub stream_stall_timeout: Duration,
    /// Silence of a running stream after which its target is suspect.
    pub stream_suspect_timeout: Duration,
    /// Wait for a first event after which a silent target is suspect.
    pub first_event_suspect_timeout: Duration,
    /// Time for which a suspect target is avoided.
    pub suspect_duration: Duration,
    /// Silence of a target after which a stream without a first event moves to another one.
    pub queued_stall_timeout: Duration,
    /// Fraction of a plain route's objective after which a request of a silent target moves.
    pub plain_stall_fraction: f64,
    /// Interval between stall checks of a waiting request.
    pub check_interval: Duration,
    /// Time for which a target is avoided after its first failure.
    pub min_avoid_duration: Duration,
    /// Longest time for which a failed target is avoided.
    pub max_avoid_duration: Duration,
    /// Time for which a target that was too full to run a request is avoided.
    pub full_avoid_duration: Duration,
    /// Time for which another node's counts are valid.
    pub remote_counts_validity: Duration,
    /// Time for which a target's reported load is valid.
    pub reported_load_validity: Duration,
    /// Attempts that may end without a run before the request is refused.
    pub max_rejections: u32,
    /// Attempts that may reach another server than the one meant before the request is refused.
    pub max_misdirections: u32,
    /// Least time before the deadline with which an attempt is made.
    pub min_attempt_time: Duration,
    /// Requests per slot above which an engine is sent no new ones.
    pub max_engine_utilization: f64,
    /// Fast-lane requests per slot above which new requests take the slow lane.
    pub max_fast_utilization: f64,
    /// Slots of an engine from which its requests are admitted by prediction.
    pub admission_min_slots: usize,
    /// Requests per slot of all engines from which requests are admitted by prediction.
    pub admission_utilization: f64,
    /// Weight of a slow-lane request in the fast lane's utilization.
    pub slow_lane_weight: f64,
    /// Requests per slot above which a plain server is sent no new ones.
    pub max_plain_utilization: f64,
    /// Utilization added to a target in another failure domain.
    pub cross_domain_penalty: f64,
    /// Delay after which a refused client may retry.
    pub retry_after: Duration,
}

impl Default for RelaySettings {
    fn default() -> Self {
        Self {
            stream_stall_timeout: STREAM_STALL_TIMEOUT,
            stream_suspect_timeout: STREAM_SUSPECT_TIMEOUT,
            first_event_suspect_timeout: FIRST_EVENT_SUSPECT_TIMEOUT,
            suspect_duration: SUSPECT_DURATION,
            queued_stall_timeout: QUEUED_STALL_TIMEOUT,
            plain_stall_fraction: PLAIN_STALL_FRACTION,
            check_interval: CHECK_INTERVAL,
            min_avoid_duration: MIN_AVOID_DURATION,
            max_avoid_duration: MAX_AVOID_DURATION,
            full_avoid_duration: FULL_AVOID_DURATION,
            remote_counts_validity: REMOTE_COUNTS_VALIDITY,
            reported_load_validity: REPORTED_LOAD_VALIDITY,
            max_rejections: MAX_REJECTIONS,
            max_misdirections: MAX_MISDIRECTIONS,
            min_attempt_time: MIN_ATTEMPT_TIME,
            max_engine_utilization: MAX_ENGINE_UTILIZATION,
            max_fast_utilization: MAX_FAST_UTILIZATION,
            admission_min_slots: ADMISSION_MIN_SLOTS,
            admission_utilization: ADMISSION_UTILIZATION,
            slow_lane_weight: SLOW_LANE_WEIGHT,
            max_plain_utilization: MAX_PLAIN_UTILIZATION,
            cross_domain_penalty: CROSS_DOMAIN_PENALTY,
            retry_after: RETRY_AFTER,
        }
    }
}
