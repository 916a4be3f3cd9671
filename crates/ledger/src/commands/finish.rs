//! End of a sent call, and withdrawal of a call that was not sent.

use base::prelude::*;
use exchange::NotRunProof;

use crate::state::{CallStage, CallState, Effects};
use crate::{CallVerdict, FinishedCall, LedgerEffect, LedgerState, NotRunReason, ShardId};

impl LedgerState {
    /// Processes the outcome of a call that was sent.
    ///
    /// Its caller gets the verdict once the outcome is recorded, so that all clients
    /// get the same one, but at the latest after the record timeout.
    pub fn finish(
        &mut self,
        call: CallId,
        finished: FinishedCall,
        now: ClockTime,
    ) -> Vec<LedgerEffect> {
        let record_deadline = now + self.settings.record_timeout;
        self.update_sent_call(call, now, |state| {
            state.stage = CallStage::Finishing(finished);
            state.reply_deadline = state.reply_deadline.min(record_deadline);
        })
    }

    /// Withdraws a call that was not run and never will be.
    pub fn withdraw(&mut self, call: CallId, _: NotRunProof, now: ClockTime) -> Vec<LedgerEffect> {
        let reason = NotRunReason::Withdrawn;
        if !self.is_unrecorded(call) && !self.is_joined(call) {
            return self.update_call(call, now, |state| {
                state.stage = CallStage::Withdrawing(reason);
            });
        }
        let mut effects = Effects::new();
        let verdict = if self.is_joined(call) {
            CallVerdict::StillRunning
        } else {
            CallVerdict::NotRun(reason)
        };
        self.close_call(call, verdict, &mut effects);
        effects
    }

    fn is_joined(&self, call: CallId) -> bool {
        let state = self.calls.get(&call);
        state.is_some_and(|state| matches!(state.stage, CallStage::Joined { .. }))
    }

    fn update_sent_call(
        &mut self,
        call: CallId,
        now: ClockTime,
        change: impl FnOnce(&mut CallState),
    ) -> Vec<LedgerEffect> {
        let is_sent = |state: &CallState| matches!(state.stage, CallStage::Sent { .. });
        if !self.calls.get(&call).is_some_and(is_sent) {
            return Effects::new();
        }
        self.update_call(call, now, change)
    }

    fn update_call(
        &mut self,
        call: CallId,
        now: ClockTime,
        change: impl FnOnce(&mut CallState),
    ) -> Vec<LedgerEffect> {
        let mut effects = Effects::new();
        if let Some(state) = self.calls.get_mut(&call) {
            change(state);
            let shard = state.shard;
            self.batch_writes(shard, now);
            self.start_shard_request(shard, now, &mut effects);
        }
        effects
    }

    /// Delays the next write of an idle shard to batch more changes into it.
    pub(crate) fn batch_writes(&mut self, shard: ShardId, now: ClockTime) {
        let batch_end = now + self.settings.batch_delay;
        let has_valid_cache = self.has_valid_cache(shard, now);
        let Some(state) = self.shards.get_mut(&shard) else {
            return;
        };
        if has_valid_cache && state.in_flight.is_none() && state.not_before <= now {
            state.not_before = batch_end;
        }
    }
}
