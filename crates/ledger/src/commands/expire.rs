//! Deadlines of calls and expiry of cached state.

use base::prelude::*;

use crate::state::{CallStage, Effects};
use crate::{CallVerdict, FinishedCall, LedgerEffect, LedgerState, NotRunReason};

use super::resolve::final_verdict;

impl LedgerState {
    /// Acts on every deadline that has passed.
    pub fn expire(&mut self, now: ClockTime) -> Vec<LedgerEffect> {
        let mut effects = Effects::new();
        let calls: Vec<CallId> = self.calls.keys().copied().collect();
        for call in calls {
            self.expire_run(call, now);
            self.expire_reply(call, now, &mut effects);
        }
        self.expire_record_epoch(now);
        self.start_epoch_read(now, &mut effects);
        self.start_all_requests(now, &mut effects);
        self.sweep_shards(now);
        effects
    }

    /// Treats the response as lost if it has not been received by the run deadline.
    fn expire_run(&mut self, call: CallId, now: ClockTime) {
        let Some(state) = self.calls.get_mut(&call) else {
            return;
        };
        if matches!(state.stage, CallStage::Sent { run_deadline } if run_deadline <= now) {
            state.stage = CallStage::Finishing(FinishedCall::Unknown);
        }
    }

    /// Sends the caller a verdict if its deadline has passed.
    fn expire_reply(&mut self, call: CallId, now: ClockTime, effects: &mut Effects) {
        let Some(state) = self.calls.get(&call) else {
            return;
        };
        if state.has_verdict || now < state.reply_deadline {
            return;
        }
        match state.stage.clone() {
            CallStage::Recording if self.is_unrecorded(call) => {
                let verdict = CallVerdict::NotRun(NotRunReason::DeadlinePassed);
                self.close_call(call, verdict, effects);
            }
            CallStage::Recording => {
                let stage = CallStage::Withdrawing(NotRunReason::DeadlinePassed);
                self.set_stage(call, stage);
                self.report_verdict(call, CallVerdict::OutcomeUnknown, effects);
            }
            CallStage::Joined { .. } => self.close_call(call, CallVerdict::StillRunning, effects),
            CallStage::Sent { .. } => self.report_verdict(call, CallVerdict::StillRunning, effects),
            CallStage::Finishing(finished) => {
                self.report_verdict(call, final_verdict(finished), effects);
            }
            // The record may still exist, so this can't be reported as not run.
            CallStage::Withdrawing(_) => {
                self.report_verdict(call, CallVerdict::OutcomeUnknown, effects)
            }
        }
    }

    /// Frees cached contents that no call needs and that are too old to be written on.
    fn sweep_shards(&mut self, now: ClockTime) {
        if now < self.sweep_at {
            return;
        }
        let validity = self.settings.cache_validity;
        self.sweep_at = now + validity;
        for state in self.shards.values_mut() {
            let is_idle = state.calls.is_empty() && state.in_flight.is_none();
            if is_idle && now.since(state.received_at) > validity {
                state.contents = None;
            }
        }
    }
}
