//! Questions about calls.

use base::prelude::*;

use crate::LedgerState;
use crate::state::CallStage;

impl LedgerState {
    /// Whether a call may still be sent; ask right before its first byte.
    ///
    /// A process that was paused since its verdict must not send any more: its
    /// mark may have been dropped meanwhile.
    pub fn may_send(&self, call: CallId, now: ClockTime) -> bool {
        match self.calls.get(&call).map(|call| &call.phase) {
            Some(CallStage::Sent { run_deadline }) => now < *run_deadline,
            _ => false,
        }
    }

    /// Calls whose mark or end still has to be settled before a planned stop.
    pub fn unsettled_calls(&self) -> usize {
        let settling = |phase: &CallStage| !matches!(phase, CallStage::Joining { .. });
        let calls = self.calls.values();
        calls.filter(|call| settling(&call.phase)).count()
    }

    /// Calls that the ledger knows.
    pub fn known_calls(&self) -> usize {
        self.calls.len()
    }
}
