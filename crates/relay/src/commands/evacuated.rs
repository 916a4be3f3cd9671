//! Failure domains whose targets get no requests.

use evacuation::EvacuatedDomains;

use crate::RelayState;

/// Replaces the evacuated failure domains. Requests in progress there finish.
pub fn set_evacuated(state: &mut RelayState, domains: EvacuatedDomains) {
    state.evacuated = domains;
}

/// Number of targets that were left out of a choice since the last call because their failure
/// domain is evacuated.
pub fn take_evacuation_skips(state: &mut RelayState) -> u64 {
    std::mem::take(&mut state.evacuation_skips)
}
