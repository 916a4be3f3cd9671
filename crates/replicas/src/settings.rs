//! Timeouts and limits of the planner.

use base::prelude::*;

/// Interval between probes of a healthy member.
const PROBE_INTERVAL: Duration = Duration::from_millis(2_000);
/// Interval between probes of a member whose group is being formed.
const FORMING_PROBE_INTERVAL: Duration = Duration::from_millis(400);
/// Interval between probes of a head after the owner has changed.
const HEAD_PROBE_INTERVAL: Duration = Duration::from_millis(300);
/// Duration of the frequent head probes; engines finish within it the requests that were sent
/// by nodes that have since failed.
const HEAD_PROBE_DURATION: Duration = Duration::from_millis(3_000);
/// Interval between probes of an endpoint that does not respond.
const UNRESPONSIVE_PROBE_INTERVAL: Duration = Duration::from_millis(1_000);
/// Consecutive unanswered probes after which an endpoint counts as lost.
const MAX_MISSED_PROBES: u32 = 2;
/// Time for which endpoints that fall silent together are not taken for lost.
const COMMON_SILENCE_GRACE: Duration = Duration::from_millis(3_000);
/// Grace period for endpoints that a store outage may have removed from the list; the platform
/// lists them again within two seconds.
const RELIST_GRACE_PERIOD: Duration = Duration::from_millis(2_200);
/// Time after which an order that was accepted but shows no effect is sent again.
const EFFECT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time that a head has to finish its requests before its leaving member is replaced. A leaving
/// endpoint stays ten seconds at most while the head has work.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(9_000);
/// Time that a head has to finish its requests when its domain moves to another model. Nothing
/// forces it to end, so streams of the usual length finish.
const MOVE_CLOSE_TIMEOUT: Duration = Duration::from_secs(30);
/// Delay before a rejected order is sent again.
const REJECTED_RETRY_DELAY: Duration = Duration::from_millis(150);
/// Number of epochs that an owner reserves in one write.
const EPOCH_BLOCK_SIZE: u64 = 1_000;

/// Timeouts and limits of the planner.
#[derive(Clone, Debug)]
pub struct PlannerSettings {
    /// Interval between probes of a healthy member.
    pub probe_interval: Duration,
    /// Interval between probes of a member of a forming group.
    pub forming_probe_interval: Duration,
    /// Interval between probes of a head after the owner has changed.
    pub head_probe_interval: Duration,
    /// Duration of the frequent head probes.
    pub head_probe_duration: Duration,
    /// Interval between probes of an unresponsive endpoint.
    pub unresponsive_probe_interval: Duration,
    /// Consecutive unanswered probes after which an endpoint counts as lost.
    pub max_missed_probes: u32,
    /// Time for which endpoints that fall silent together are not taken for lost.
    pub common_silence_grace: Duration,
    /// Grace period for endpoints that an outage removed from the list.
    pub relist_grace_period: Duration,
    /// Time after which an order without effect is sent again.
    pub effect_timeout: Duration,
    /// Time that a closing head has to finish its requests.
    pub close_timeout: Duration,
    /// The same for a group whose domain moves to another model.
    pub move_close_timeout: Duration,
    /// Delay before a rejected order is sent again.
    pub rejected_retry_delay: Duration,
    /// Number of epochs reserved in one write.
    pub epoch_block_size: u64,
    /// Until when groups may be formed of endpoints without weights. Loads are quick before
    /// traffic starts; afterwards weights are staged first.
    pub cold_start_until: ClockTime,
}

impl Default for PlannerSettings {
    fn default() -> Self {
        Self {
            probe_interval: PROBE_INTERVAL,
            forming_probe_interval: FORMING_PROBE_INTERVAL,
            head_probe_interval: HEAD_PROBE_INTERVAL,
            head_probe_duration: HEAD_PROBE_DURATION,
            unresponsive_probe_interval: UNRESPONSIVE_PROBE_INTERVAL,
            max_missed_probes: MAX_MISSED_PROBES,
            common_silence_grace: COMMON_SILENCE_GRACE,
            relist_grace_period: RELIST_GRACE_PERIOD,
            effect_timeout: EFFECT_TIMEOUT,
            close_timeout: CLOSE_TIMEOUT,
            move_close_timeout: MOVE_CLOSE_TIMEOUT,
            rejected_retry_delay: REJECTED_RETRY_DELAY,
            epoch_block_size: EPOCH_BLOCK_SIZE,
            cold_start_until: ClockTime::default(),
        }
    }
}
