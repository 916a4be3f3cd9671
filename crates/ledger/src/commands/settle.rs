//! What a shard's contents mean for its calls.

use base::prelude::*;

use crate::state::{CallStage, Effects, MarkSighting, STAMP_MARGIN};
use crate::{
    CallPhase, CallRecord, CallVerdict, FinishedCall, LedgerEffect, LedgerState, NotRunReason,
    ShardId,
};

impl LedgerState {
    /// Tells every call of a shard what its contents mean for it.
    pub(crate) fn settle_shard(&mut self, shard: ShardId, now: ClockTime, effects: &mut Effects) {
        for call in self.shard_calls(shard) {
            self.settle_call(call, now, effects);
        }
    }

    pub(crate) fn shard_calls(&self, shard: ShardId) -> Vec<CallId> {
        let state = self.shards.get(&shard);
        state.map_or_else(Vec::new, |state| state.calls.iter().copied().collect())
    }

    pub(crate) fn settle_call(&mut self, call: CallId, now: ClockTime, effects: &mut Effects) {
        let Some(state) = self.calls.get(&call) else {
            return;
        };
        let shard = self.shards.get(&state.shard);
        let Some(record) = shard.and_then(|shard| shard.record.clone()) else {
            return;
        };
        let mark = record.marks.get(&state.request.key);
        let own = mark.is_some_and(|mark| mark.attempt == state.attempt);
        match &state.phase {
            CallStage::Wanting if own => self.grant(call, now, effects),
            CallStage::Wanting | CallStage::Joining { .. } => match mark {
                Some(mark) => self.join(call, mark, now, effects),
                None => self.set_phase(call, CallStage::Wanting),
            },
            CallStage::Sent { .. } => {}
            CallStage::Finishing(finished) => {
                if mark.is_some_and(|mark| !own || is_recorded(mark, finished)) {
                    let verdict = final_verdict(finished.clone());
                    self.tell_last(call, verdict, effects);
                }
            }
            CallStage::Withdrawing(reason) => {
                if !own && !self.may_be_marked(state) {
                    let verdict = CallVerdict::NotRun(*reason);
                    self.tell_last(call, verdict, effects);
                }
            }
        }
    }

    /// This attempt's mark is made.
    fn grant(&mut self, call: CallId, now: ClockTime, effects: &mut Effects) {
        let run_limit = self.settings.run_limit;
        let Some(state) = self.calls.get_mut(&call) else {
            return;
        };
        if now >= state.reply_deadline {
            state.phase = CallStage::Withdrawing(NotRunReason::DeadlinePassed);
            return;
        }
        state.phase = CallStage::Sent {
            run_deadline: state.marked_at + run_limit,
        };
        effects.push(LedgerEffect::Verdict {
            call,
            verdict: CallVerdict::Send,
        });
    }

    /// Another attempt's mark was found.
    fn join(&mut self, call: CallId, mark: &CallRecord, now: ClockTime, effects: &mut Effects) {
        let local = mark.attempt.node == self.node && mark.attempt.process == self.process;
        self.set_phase(call, CallStage::Joining { local });
        if let Some(verdict) = self.joined_verdict(call, mark, now) {
            self.tell_last(call, verdict, effects);
        }
    }

    fn joined_verdict(
        &mut self,
        call: CallId,
        mark: &CallRecord,
        now: ClockTime,
    ) -> Option<CallVerdict> {
        let fresh = self.is_fresh(call);
        let lapsed = self.sight_mark(call, mark, now);
        let state = self.calls.get(&call)?;
        if mark.digest != state.request.digest {
            return fresh.then_some(CallVerdict::NotRun(NotRunReason::KeyReused));
        }
        match &mark.phase {
            CallPhase::Answered(answer) => Some(CallVerdict::Response(answer.clone())),
            CallPhase::Unknown => fresh.then_some(CallVerdict::OutcomeUnknown),
            CallPhase::Running => (fresh && lapsed).then_some(CallVerdict::OutcomeUnknown),
        }
    }

    /// Whether the shard was asked for after the call began; what was known
    /// before may have been settled or withdrawn since. A mark of this process
    /// is changed by nobody else.
    fn is_fresh(&self, call: CallId) -> bool {
        let Some(state) = self.calls.get(&call) else {
            return false;
        };
        if state.phase == (CallStage::Joining { local: true }) {
            return true;
        }
        let shard = self.shards.get(&state.shard);
        shard.is_some_and(|shard| shard.asked_at >= state.begun)
    }

    /// Notes a running mark and says whether its call can no longer be under way.
    fn sight_mark(&mut self, call: CallId, mark: &CallRecord, now: ClockTime) -> bool {
        let run_deadline = now + self.settings.run_limit;
        let known = self.epoch.known;
        let Some(state) = self.calls.get(&call) else {
            return false;
        };
        let Some(shard) = self.shards.get_mut(&state.shard) else {
            return false;
        };
        let key = &state.request.key;
        if mark.phase != CallPhase::Running {
            shard.sightings.remove(key);
            return false;
        }
        // Epochs are at least a run limit apart, and a mark's epoch may have
        // been two further by the end of the epoch it was made in.
        if known.is_some_and(|known| known.0 > mark.epoch.0 + STAMP_MARGIN) {
            return true;
        }
        match shard.sightings.get(key) {
            Some(sighting) if sighting.attempt == mark.attempt => now >= sighting.run_deadline,
            _ => {
                let sighting = MarkSighting {
                    attempt: mark.attempt.clone(),
                    run_deadline,
                };
                shard.sightings.insert(key.clone(), sighting);
                false
            }
        }
    }

    pub(crate) fn set_phase(&mut self, call: CallId, phase: CallStage) {
        if let Some(state) = self.calls.get_mut(&call) {
            state.phase = phase;
        }
    }

    /// Gives a call its final verdict, if it has had none, and forgets it.
    pub(crate) fn tell_last(&mut self, call: CallId, verdict: CallVerdict, effects: &mut Effects) {
        self.tell(call, verdict, effects);
        if let Some(state) = self.calls.remove(&call)
            && let Some(shard) = self.shards.get_mut(&state.shard)
        {
            shard.calls.remove(&call);
            if shard.calls.is_empty() {
                self.active.remove(&state.shard);
            }
        }
    }

    /// Gives a call its final verdict, if it has had none.
    pub(crate) fn tell(&mut self, call: CallId, verdict: CallVerdict, effects: &mut Effects) {
        let Some(state) = self.calls.get_mut(&call) else {
            return;
        };
        if state.told {
            return;
        }
        state.told = true;
        effects.push(LedgerEffect::Verdict { call, verdict });
    }
}

fn is_recorded(mark: &CallRecord, finished: &FinishedCall) -> bool {
    match (&mark.phase, finished) {
        (CallPhase::Running, _) => false,
        (CallPhase::Unknown, FinishedCall::Answered(_)) => false,
        (CallPhase::Answered(_), _) | (CallPhase::Unknown, FinishedCall::Unknown) => true,
    }
}

/// Verdict for the attempt that sent the call itself.
pub(crate) fn final_verdict(finished: FinishedCall) -> CallVerdict {
    match finished {
        FinishedCall::Answered(answer) => CallVerdict::Response(answer),
        FinishedCall::Unknown => CallVerdict::OutcomeUnknown,
    }
}
