//! Deadlines have passed.

use base::prelude::*;

use crate::state::{CallStage, Effects};
use crate::{CallVerdict, FinishedCall, LedgerEffect, LedgerState, NotRunReason};

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
        self.pump_all(now, &mut effects);
        self.sweep_shards(now);
        effects
    }

    /// An endpoint's answer that hasn't come by the run deadline is lost.
    fn expire_run(&mut self, call: CallId, now: ClockTime) {
        let Some(state) = self.calls.get_mut(&call) else {
            return;
        };
        if matches!(state.phase, CallStage::Sent { run_deadline } if run_deadline <= now) {
            state.phase = CallStage::Finishing(FinishedCall::Unknown);
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
            CallStage::Wanting if self.is_unmarked(call) => {
                let verdict = CallVerdict::NotRun(NotRunReason::DeadlinePassed);
                self.tell_last(call, verdict, effects);
            }
            CallStage::Wanting => {
                let phase = CallStage::Withdrawing(NotRunReason::DeadlinePassed);
                self.set_phase(call, phase);
                self.tell(call, CallVerdict::OutcomeUnknown, effects);
            }
            CallStage::Joining { .. } => self.tell_last(call, CallVerdict::StillRunning, effects),
            CallStage::Sent { .. } => self.tell(call, CallVerdict::StillRunning, effects),
            CallStage::Finishing(finished) => {
                self.tell(call, final_verdict(finished), effects);
            }
            // The mark may still be there, so this isn't known as not run.
            CallStage::Withdrawing(_) => self.tell(call, CallVerdict::OutcomeUnknown, effects),
        }
    }

    /// Frees contents that no call needs and that are too old to write on.
    fn sweep_shards(&mut self, now: ClockTime) {
        if now < self.sweep_at {
            return;
        }
        let trust = self.settings.cache_trust;
        self.sweep_at = now + trust;
        for state in self.shards.values_mut() {
            let idle = state.calls.is_empty() && state.flight.is_none();
            if idle && now.since(state.seen_at) > trust {
                state.record = None;
            }
        }
    }
}
