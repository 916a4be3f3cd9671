//! Times and limits of forwarding.

use base::prelude::*;

/// Silence of a streaming server after which its streams move; the slowest
/// usual pass of an engine takes about 300 ms.
const STREAM_SILENCE: Duration = Duration::from_millis(500);
/// The same for a request that has not begun, which may only be queued.
const QUEUE_SILENCE: Duration = Duration::from_millis(1_500);
/// Silence of a stream after which its server is suspect; events usually come every 60 ms.
const SUSPECT_SILENCE: Duration = Duration::from_millis(160);
/// Wait for a first event after which a server that sends nothing at all is suspect.
const SUSPECT_WAIT: Duration = Duration::from_millis(400);
/// Span for which a suspect server is avoided; each look that finds it silent renews it.
const SUSPECT_SPAN: Duration = Duration::from_millis(200);
/// Part of a plain route's objective after which a silent server is left.
const PLAIN_SILENCE_PART: f64 = 0.7;
/// Pause between two looks at a request that waits.
const CHECK_PERIOD: Duration = Duration::from_millis(60);
/// First span for which a target that failed is avoided; it doubles with each failure.
const AVOID_SPAN: Duration = Duration::from_millis(500);
/// Longest span for which a target is avoided.
const AVOID_LIMIT: Duration = Duration::from_secs(4);
/// Span for which a target that was full is avoided.
const FULL_SPAN: Duration = Duration::from_millis(100);
/// Span for which another node's counts hold.
const REMOTE_SPAN: Duration = Duration::from_millis(1_000);
/// Span for which the requests that a target reports hold; the owner asks again within it.
const REPORT_SPAN: Duration = Duration::from_millis(450);
/// Sends that servers may reject unrun before the request is refused.
const REJECTION_LIMIT: u32 = 3;
/// Time that must be left for an attempt to be worth making.
const LEAST_TIME: Duration = Duration::from_millis(20);
/// Requests at an engine, in parts of its slots, above which new ones are refused.
const ENGINE_FILL_LIMIT: f64 = 2.5;
/// Requests of the fast lane, in parts of an engine's slots, above which new ones take the slow one.
const FAST_FILL_LIMIT: f64 = 1.05;
/// Part of its size that a request of the slow lane counts in the fast one, for the slot that it may hold.
const SLOW_WEIGHT: f64 = 0.3;
/// Requests at a plain server, in parts of its slots, above which new ones are refused.
const PLAIN_FILL_LIMIT: f64 = 4.0;
/// Extra load, in parts of the slots, that a target of another failure domain counts as.
const FAR_PENALTY: f64 = 0.06;
/// Time after which a refused client may come back.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// Times and limits of forwarding.
#[derive(Clone, Debug)]
pub struct RelaySettings {
    /// Silence of a streaming server after which its streams move.
    pub stream_silence: Duration,
    /// Silence of a stream after which its server is suspect.
    pub suspect_silence: Duration,
    /// Wait for a first event after which a silent server is suspect.
    pub suspect_wait: Duration,
    /// Span for which a suspect server is avoided.
    pub suspect_span: Duration,
    /// The same for a request that has not begun.
    pub queue_silence: Duration,
    /// Part of a plain route's objective after which a silent server is left.
    pub plain_silence_part: f64,
    /// Pause between two looks at a request that waits.
    pub check_period: Duration,
    /// First span for which a failed target is avoided.
    pub avoid_span: Duration,
    /// Longest such span.
    pub avoid_limit: Duration,
    /// Span for which a full target is avoided.
    pub full_span: Duration,
    /// Span for which another node's counts hold.
    pub remote_span: Duration,
    /// Span for which the requests that a target reports hold.
    pub report_span: Duration,
    /// Rejected sends after which a request is refused.
    pub rejection_limit: u32,
    /// Least time for an attempt.
    pub least_time: Duration,
    /// Fill above which an engine takes no new request.
    pub engine_fill_limit: f64,
    /// Fill of the fast lane above which requests take the slow one.
    pub fast_fill_limit: f64,
    /// Part that a request of the slow lane counts in the fast one.
    pub slow_weight: f64,
    /// Fill above which a plain server takes no new request.
    pub plain_fill_limit: f64,
    /// Penalty of another failure domain.
    pub far_penalty: f64,
    /// Time after which a refused client may come back.
    pub retry_after: Duration,
}

impl Default for RelaySettings {
    fn default() -> Self {
        Self {
            stream_silence: STREAM_SILENCE,
            suspect_silence: SUSPECT_SILENCE,
            suspect_wait: SUSPECT_WAIT,
            suspect_span: SUSPECT_SPAN,
            queue_silence: QUEUE_SILENCE,
            plain_silence_part: PLAIN_SILENCE_PART,
            check_period: CHECK_PERIOD,
            avoid_span: AVOID_SPAN,
            avoid_limit: AVOID_LIMIT,
            full_span: FULL_SPAN,
            remote_span: REMOTE_SPAN,
            report_span: REPORT_SPAN,
            rejection_limit: REJECTION_LIMIT,
            least_time: LEAST_TIME,
            engine_fill_limit: ENGINE_FILL_LIMIT,
            fast_fill_limit: FAST_FILL_LIMIT,
            slow_weight: SLOW_WEIGHT,
            plain_fill_limit: PLAIN_FILL_LIMIT,
            far_penalty: FAR_PENALTY,
            retry_after: RETRY_AFTER,
        }
    }
}
