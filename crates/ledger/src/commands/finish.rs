//! A sent call ends, or gives its mark back unsent.

use base::prelude::*;

use crate::state::{CallStage, CallState, Effects};
use crate::{CallVerdict, FinishedCall, LedgerEffect, LedgerState, NotRunReason, ShardId};

impl LedgerState {
    /// Takes in the end of a call that was sent.
    ///
    /// Its caller hears of it once the end is recorded, so that every device
    /// hears the same, or after the record patience.
    pub fn finish(
        &mut self,
        call: CallId,
        finished: FinishedCall,
        now: ClockTime,
    ) -> Vec<LedgerEffect> {
        let patience = now + self.settings.record_patience;
        self.change_sent(call, now, |state| {
            state.phase = CallStage::Finishing(finished);
            state.reply_deadline = state.reply_deadline.min(patience);
        })
    }

    /// Gives a call up that has sent nothing and never will.
    ///
    /// Only for calls whose first byte has not gone out.
    pub fn withdraw(&mut self, call: CallId, now: ClockTime) -> Vec<LedgerEffect> {
        let reason = NotRunReason::Withdrawn;
        if !self.is_unmarked(call) && !self.is_joining(call) {
            return self.change_open(call, now, |state| {
                state.phase = CallStage::Withdrawing(reason);
            });
        }
        let mut effects = Effects::new();
        let verdict = if self.is_joining(call) {
            CallVerdict::StillRunning
        } else {
            CallVerdict::NotRun(reason)
        };
        self.tell_last(call, verdict, &mut effects);
        effects
    }

    fn is_joining(&self, call: CallId) -> bool {
        let state = self.calls.get(&call);
        state.is_some_and(|state| matches!(state.phase, CallStage::Joining { .. }))
    }

    fn change_sent(
        &mut self,
        call: CallId,
        now: ClockTime,
        change: impl FnOnce(&mut CallState),
    ) -> Vec<LedgerEffect> {
        let sent = |state: &CallState| matches!(state.phase, CallStage::Sent { .. });
        if !self.calls.get(&call).is_some_and(sent) {
            return Effects::new();
        }
        self.change_open(call, now, change)
    }

    fn change_open(
        &mut self,
        call: CallId,
        now: ClockTime,
        change: impl FnOnce(&mut CallState),
    ) -> Vec<LedgerEffect> {
        let mut effects = Effects::new();
        if let Some(state) = self.calls.get_mut(&call) {
            change(state);
            let shard = state.shard;
            self.gather_shard(shard, now);
            self.pump_shard(shard, now, &mut effects);
        }
        effects
    }

    /// Waits a little for more changes before the next write of an idle shard.
    pub(crate) fn gather_shard(&mut self, shard: ShardId, now: ClockTime) {
        let gather_end = now + self.settings.gather;
        let trusted = self.is_trusted(shard, now);
        let Some(state) = self.shards.get_mut(&shard) else {
            return;
        };
        if trusted && state.flight.is_none() && state.not_before <= now {
            state.not_before = gather_end;
        }
    }
}
