//! Status of calls.

use base::prelude::*;

use crate::LedgerState;
use crate::state::CallStage;

impl LedgerState {
    /// Whether a call may still be sent; to be checked right before its first byte.
    ///
    /// A process that was paused after the verdict must not send the call: its record
    /// may have expired in the meantime.
    pub fn may_send(&self, call: CallId, now: ClockTime) -> bool {
        match self.calls.get(&call).map(|call| &call.stage) {
            Some(CallStage::Sent { run_deadline }) => now < *run_deadline,
            _ => false,
        }
    }

    /// Number of calls whose start record or outcome is not stored yet; a planned stop waits until
    /// it is zero.
    pub fn unsettled_calls(&self) -> usize {
        let is_unsettled = |stage: &CallStage| !matches!(stage, CallStage::Joined { .. });
        let calls = self.calls.values();
        calls.filter(|call| is_unsettled(&call.stage)).count()
    }

    /// Number of calls in this process that have not ended.
    pub fn call_count(&self) -> usize {
        self.calls.len()
    }
}
