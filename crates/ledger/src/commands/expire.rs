//! Deadlines have passed.

use base::prelude::*;

use crate::state::{CallPhase, Effects};
use crate::{CallVerdict, FinishedCall, LedgerEffect, LedgerState, NotRunReason, ShardId};

use super::settle::final_verdict;

impl LedgerState {
    /// Acts on every deadline that has passed.
    pub fn expire(&mut self, now: ClockTime) -> Vec<LedgerEffect> {
        let mut effects = Effects::new();
        let calls: Vec<CallId> = self.calls.keys().copied().collect();
        for call in calls {
            self.expire_run(call, now);
            self.expire_reply(call, now, &mut effects);
        }
        self.drop_stamp(now);
        self.pump_epoch(now, &mut effects);
        let shards: Vec<ShardId> = self.shards.keys().copied().collect();
        for shard in shards {
            self.pump_shard(shard, now, &mut effects);
            self.drop_idle(shard, now);
        }
        effects
    }

    /// An endpoint's answer that hasn't come by the run deadline is lost.
    fn expire_run(&mut self, call: CallId, now: ClockTime) {
        let Some(state) = self.calls.get_mut(&call) else {
            return;
        };
        if matches!(state.phase, CallPhase::Sent { run_deadline } if run_deadline <= now) {
            state.phase = CallPhase::Finishing(FinishedCall::Unknown);
        }
    }

    /// The caller must hear something now.
    fn expire_reply(&mut self, call: CallId, now: ClockTime, effects: &mut Effects) {
        let Some(state) = self.calls.get(&call) else {
            return;
        };
        if state.told || now < state.reply_deadline {
            return;
        }
        match state.phase.clone() {
            CallPhase::Wanting if self.is_unmarked(call) => {
                let verdict = CallVerdict::NotRun(NotRunReason::DeadlinePassed);
                self.tell_last(call, verdict, effects);
            }
            CallPhase::Wanting => {
                let phase = CallPhase::Withdrawing(NotRunReason::DeadlinePassed);
                self.set_phase(call, phase);
                self.tell(call, CallVerdict::OutcomeUnknown, effects);
            }
            CallPhase::Joining { .. } => self.tell_last(call, CallVerdict::StillRunning, effects),
            CallPhase::Sent { .. } => self.tell(call, CallVerdict::StillRunning, effects),
            CallPhase::Finishing(finished) => {
                self.tell(call, final_verdict(finished), effects);
            }
            // The mark may still be there, so this isn't known as not run.
            CallPhase::Withdrawing(_) => self.tell(call, CallVerdict::OutcomeUnknown, effects),
        }
    }

    /// Frees the contents of a shard that no call needs.
    fn drop_idle(&mut self, shard: ShardId, now: ClockTime) {
        let trusted = self.is_trusted(shard, now);
        if let Some(state) = self.shards.get_mut(&shard)
            && state.calls.is_empty()
            && state.flight.is_none()
            && !trusted
        {
            state.record = None;
        }
    }
}
