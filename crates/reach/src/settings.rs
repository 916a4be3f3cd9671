//! Thresholds and durations.

use base::prelude::*;

/// Servers in trouble that raise the suspicion.
const MIN_TROUBLED: usize = 3;
/// Time for which a server counts as in trouble.
const TROUBLE_VALIDITY: Duration = Duration::from_secs(2);
/// Servers that a trial asks.
const TRIAL_SIZE: usize = 3;
/// Time after a trial that reached a server before trouble raises the suspicion again.
const TRUST_DURATION: Duration = Duration::from_millis(500);
/// Interval between two trials of a node that is cut off.
const TRIAL_INTERVAL: Duration = Duration::from_millis(400);
/// Successful trials in a row after which a node is no longer cut off. A partition that heals in
/// steps would otherwise send the requests back and forth.
const MIN_GOOD_TRIALS: u32 = 2;
/// Time for which a node that could not pass a request on is not asked again.
const PASS_EXCLUSION: Duration = Duration::from_secs(4);

/// Thresholds and durations.
#[derive(Clone, Debug)]
pub struct ReachSettings {
    /// Servers in trouble that raise the suspicion, or all if there are fewer.
    pub min_troubled: usize,
    /// Time for which a server counts as in trouble.
    pub trouble_validity: Duration,
    /// Servers that a trial asks.
    pub trial_size: usize,
    /// Time after a trial that reached a server before the next suspicion.
    pub trust_duration: Duration,
    /// Interval between two trials of a node that is cut off.
    pub trial_interval: Duration,
    /// Successful trials in a row after which a node is no longer cut off.
    pub min_good_trials: u32,
    /// Time for which a node that could not pass a request on is not asked again.
    pub pass_exclusion: Duration,
}

impl Default for ReachSettings {
    fn default() -> Self {
        Self {
            min_troubled: MIN_TROUBLED,
            trouble_validity: TROUBLE_VALIDITY,
            trial_size: TRIAL_SIZE,
            trust_duration: TRUST_DURATION,
            trial_interval: TRIAL_INTERVAL,
            min_good_trials: MIN_GOOD_TRIALS,
            pass_exclusion: PASS_EXCLUSION,
        }
    }
}
