//! Decides calls from the contents of their shards.

use base::prelude::*;

use crate::state::{CallStage, EPOCH_MARGIN, Effects, ObservedAttempt};
use crate::{
    CallPhase, CallRecord, CallVerdict, FinishedCall, LedgerEffect, LedgerState, NotRunReason,
    ShardId,
};

impl LedgerState {
    /// Decides every call of a shard from the shard's contents.
    pub(crate) fn resolve_shard_calls(
        &mut self,
        shard: ShardId,
        now: ClockTime,
        effects: &mut Effects,
    ) {
        for call in self.shard_calls(shard) {
            self.resolve_call(call, now, effects);
        }
    }

    pub(crate) fn shard_calls(&self, shard: ShardId) -> Vec<CallId> {
        let state = self.shards.get(&shard);
        state.map_or_else(Vec::new, |state| state.calls.iter().copied().collect())
    }

    pub(crate) fn resolve_call(&mut self, call: CallId, now: ClockTime, effects: &mut Effects) {
        let Some(state) = self.calls.get(&call) else {
            return;
        };
        let shard = self.shards.get(&state.shard);
        let Some(contents) = shard.and_then(|shard| shard.contents.clone()) else {
            return;
        };
        let record = contents.records.get(&state.request.key);
        let is_this_attempt = record.is_some_and(|record| record.attempt == state.attempt);
        match &state.stage {
            CallStage::Recording if is_this_attempt => self.grant(call, now, effects),
            CallStage::Recording | CallStage::Joined { .. } => match record {
                Some(record) => self.join(call, record, now, effects),
                None => self.set_stage(call, CallStage::Recording),
            },
            CallStage::Sent { .. } => {}
            CallStage::Finishing(finished) => {
                if record.is_some_and(|record| !is_this_attempt || is_recorded(record, finished)) {
                    let verdict = final_verdict(finished.clone());
                    self.close_call(call, verdict, effects);
                }
            }
            CallStage::Withdrawing(reason) => {
                if !is_this_attempt && !self.may_be_recorded(state) {
                    let verdict = CallVerdict::NotRun(*reason);
                    self.close_call(call, verdict, effects);
                }
            }
        }
    }

    /// Allows this attempt to be sent: its start record is written.
    fn grant(&mut self, call: CallId, now: ClockTime, effects: &mut Effects) {
        let run_timeout = self.settings.run_timeout;
        let Some(state) = self.calls.get_mut(&call) else {
            return;
        };
        if now >= state.reply_deadline {
            state.stage = CallStage::Withdrawing(NotRunReason::DeadlinePassed);
            return;
        }
        state.stage = CallStage::Sent {
            run_deadline: state.first_write_at + run_timeout,
        };
        effects.push(LedgerEffect::Verdict {
            call,
            verdict: CallVerdict::Send,
        });
    }

    /// Makes a call wait for another attempt whose record was found.
    fn join(&mut self, call: CallId, record: &CallRecord, now: ClockTime, effects: &mut Effects) {
        let local = record.attempt.node == self.node && record.attempt.process == self.process;
        self.set_stage(call, CallStage::Joined { local });
        if let Some(verdict) = self.joined_verdict(call, record, now) {
            self.close_call(call, verdict, effects);
        }
    }

    fn joined_verdict(
        &mut self,
        call: CallId,
        record: &CallRecord,
        now: ClockTime,
    ) -> Option<CallVerdict> {
        let is_fresh = self.is_fresh(call);
        let has_expired = self.observe_record(call, record, now);
        let state = self.calls.get(&call)?;
        if record.digest != state.request.digest {
            return is_fresh.then_some(CallVerdict::NotRun(NotRunReason::KeyReused));
        }
        match &record.phase {
            CallPhase::Answered(response) => Some(CallVerdict::Response(response.clone())),
            CallPhase::Unknown => is_fresh.then_some(CallVerdict::OutcomeUnknown),
            CallPhase::Running => (is_fresh && has_expired).then_some(CallVerdict::OutcomeUnknown),
        }
    }

    /// Whether the shard's contents were requested after the call began. Older contents may be
    /// outdated: the other attempt may have ended or been withdrawn since. Records of this
    /// process are changed by no other process, so they are always fresh.
    fn is_fresh(&self, call: CallId) -> bool {
        let Some(state) = self.calls.get(&call) else {
            return false;
        };
        if state.stage == (CallStage::Joined { local: true }) {
            return true;
        }
        let shard = self.shards.get(&state.shard);
        shard.is_some_and(|shard| shard.requested_at >= state.begun_at)
    }

    /// Records that another attempt's record was seen; returns whether its call can no longer be
    /// running.
    fn observe_record(&mut self, call: CallId, record: &CallRecord, now: ClockTime) -> bool {
        let run_deadline = now + self.settings.run_timeout;
        let newest = self.epoch.newest;
        let Some(state) = self.calls.get(&call) else {
            return false;
        };
        let Some(shard) = self.shards.get_mut(&state.shard) else {
            return false;
        };
        let key = &state.request.key;
        if record.phase != CallPhase::Running {
            shard.observed.remove(key);
            return false;
        }
        // Epochs are at least a run timeout apart, and the true epoch may have been two higher than
        // the record's by the end of the epoch in which it was written.
        if newest.is_some_and(|newest| newest.0 > record.epoch.0 + EPOCH_MARGIN) {
            return true;
        }
        match shard.observed.get(key) {
            Some(observed) if observed.attempt == record.attempt => now >= observed.run_deadline,
            _ => {
                let observed = ObservedAttempt {
                    attempt: record.attempt.clone(),
                    run_deadline,
                };
                shard.observed.insert(key.clone(), observed);
                false
            }
        }
    }

    pub(crate) fn set_stage(&mut self, call: CallId, stage: CallStage) {
        if let Some(state) = self.calls.get_mut(&call) {
            state.stage = stage;
        }
    }

    /// Reports a final verdict to a call, unless it has got one, and removes the call.
    pub(crate) fn close_call(&mut self, call: CallId, verdict: CallVerdict, effects: &mut Effects) {
        self.report_verdict(call, verdict, effects);
        if let Some(state) = self.calls.remove(&call)
            && let Some(shard) = self.shards.get_mut(&state.shard)
        {
            shard.calls.remove(&call);
            if shard.calls.is_empty() {
                self.active.remove(&state.shard);
            }
        }
    }

    /// Reports a final verdict to a call, unless it has got one.
    pub(crate) fn report_verdict(
        &mut self,
        call: CallId,
        verdict: CallVerdict,
        effects: &mut Effects,
    ) {
        let Some(state) = self.calls.get_mut(&call) else {
            return;
        };
        if state.has_verdict {
            return;
        }
        state.has_verdict = true;
        effects.push(LedgerEffect::Verdict { call, verdict });
    }
}

fn is_recorded(record: &CallRecord, finished: &FinishedCall) -> bool {
    match (&record.phase, finished) {
        (CallPhase::Running, _) => false,
        (CallPhase::Unknown, FinishedCall::Answered(_)) => false,
        (CallPhase::Answered(_), _) | (CallPhase::Unknown, FinishedCall::Unknown) => true,
    }
}

/// Verdict for the attempt that sent the call.
pub(crate) fn final_verdict(finished: FinishedCall) -> CallVerdict {
    match finished {
        FinishedCall::Answered(response) => CallVerdict::Response(response),
        FinishedCall::Unknown => CallVerdict::OutcomeUnknown,
    }
}
