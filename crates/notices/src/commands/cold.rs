//! Servers that are cold.

use std::collections::BTreeMap;

use base::prelude::*;

use crate::cold::SEND_WINDOW;
use crate::{ColdLimit, NoticeState};

/// Replaces the cold servers; `is_enabled` if servers can be cold at all.
pub fn set_cold(state: &mut NoticeState, cold: BTreeMap<HostName, ColdLimit>, is_enabled: bool) {
    state.cold = cold;
    state.has_cold_limits = is_enabled;
    if !is_enabled {
        state.sent.clear();
    }
}

/// Keeps a node that has just started from sending to cold servers while what its predecessor
/// under the same name has sent still counts.
pub fn hold_cold(state: &mut NoticeState, started_at: ClockTime) {
    state.cold_from = started_at + SEND_WINDOW;
}

/// Counts servers that were passed over because they are cold.
pub fn record_cold_skips(state: &mut NoticeState, count: u64) {
    state.cold_skips += count;
}

/// Takes the number of servers that were passed over since the last call.
pub fn take_cold_skips(state: &mut NoticeState) -> u64 {
    std::mem::take(&mut state.cold_skips)
}

pub(super) fn expire_sends(state: &mut NoticeState, now: ClockTime) {
    state.sent.retain(|_, log| !log.is_over(now));
    state.cold.retain(|_, limit| limit.until > now);
}
