//! The next contents of a shard.

use std::collections::BTreeSet;

use base::prelude::*;

use crate::state::{CallStage, CallState, STAMP_MARGIN};
use crate::{
    CallPhase, CallRecord, FinishedCall, LedgerEpoch, LedgerSettings, RecordedResponse,
    ShardContents,
};

/// Contents that the next update of a shard would write.
pub(super) struct ShardDraft {
    pub record: ShardContents,
    /// Whether the update is needed.
    pub changed: bool,
    /// Calls whose start marks it makes.
    pub marked: BTreeSet<CallId>,
    /// Calls that there is no room for.
    pub refused: Vec<CallId>,
    epoch: Option<LedgerEpoch>,
    size: usize,
}

impl ShardDraft {
    pub fn new(base: &ShardContents, epoch: Option<LedgerEpoch>) -> Self {
        Self {
            record: base.clone(),
            changed: false,
            marked: BTreeSet::new(),
            refused: Vec::new(),
            epoch,
            size: base.size_bound(),
        }
    }

    /// Drops marks that are older than a key is remembered.
    ///
    /// A mark's true epoch may be one further than it says, and that epoch may
    /// have been about to end.
    pub fn drop_old(&mut self, known: Option<LedgerEpoch>, retention: u64) {
        let Some(known) = known else {
            return;
        };
        let kept = |mark: &CallRecord| known.0 < mark.epoch.0 + retention + STAMP_MARGIN;
        self.record.marks.retain(|_, mark| kept(mark));
        self.size = self.record.size_bound();
    }

    /// Adds what a call wants written.
    pub fn add(&mut self, call: &CallState, settings: &LedgerSettings, now: ClockTime) {
        match &call.phase {
            CallStage::Wanting if now < call.reply_deadline => self.add_mark(call, settings),
            CallStage::Finishing(finished) => self.add_finish(call, finished, settings),
            CallStage::Withdrawing(_) => self.remove_mark(call),
            _ => {}
        }
    }

    fn add_mark(&mut self, call: &CallState, settings: &LedgerSettings) {
        let key = &call.request.key;
        if self.record.marks.contains_key(key) {
            return;
        }
        let Some(mark) = self.mark_of(call, CallPhase::Running) else {
            return;
        };
        let size = mark.size_bound(key);
        if self.size + size > settings.mark_limit {
            self.refuse(call);
            return;
        }
        self.size += size;
        self.record.marks.insert(key.clone(), mark);
        self.marked.insert(call.request.call);
        self.changed = true;
    }

    fn refuse(&mut self, call: &CallState) {
        if call.doubt.is_none() {
            self.refused.push(call.request.call);
        }
    }

    fn add_finish(&mut self, call: &CallState, finished: &FinishedCall, settings: &LedgerSettings) {
        let foreign = |mark: &CallRecord| mark.attempt != call.attempt;
        if self
            .record
            .marks
            .get(&call.request.key)
            .is_some_and(foreign)
        {
            return;
        }
        let phase = match finished {
            FinishedCall::Unknown => CallPhase::Unknown,
            FinishedCall::Answered(answer) => CallPhase::Answered(self.fit(answer, settings)),
        };
        let Some(mark) = self.mark_of(call, phase) else {
            return;
        };
        self.size += mark.size_bound(&call.request.key);
        self.record.marks.insert(call.request.key.clone(), mark);
        self.changed = true;
    }

    /// The answer as far as there is room for it.
    fn fit(&self, answer: &RecordedResponse, settings: &LedgerSettings) -> RecordedResponse {
        let too_long = answer.body.kept_len() > settings.body_limit;
        if !too_long && self.size + answer.size_bound() <= settings.shard_limit {
            return answer.clone();
        }
        RecordedResponse {
            body: answer.body.omit(),
            ..answer.clone()
        }
    }

    fn remove_mark(&mut self, call: &CallState) {
        let key = &call.request.key;
        let own = |mark: &CallRecord| mark.attempt == call.attempt;
        if self.record.marks.get(key).is_some_and(own) {
            self.record.marks.remove(key);
            self.changed = true;
        }
        // An update in doubt may still arrive: any write on its version stops it.
        self.changed |= call.doubt.is_some();
    }

    /// The mark of a call; none while there is no epoch to stamp it with.
    fn mark_of(&self, call: &CallState, phase: CallPhase) -> Option<CallRecord> {
        let earlier = self.record.marks.get(&call.request.key);
        let epoch = earlier.map(|mark| mark.epoch).or(self.epoch)?;
        Some(CallRecord {
            attempt: call.attempt.clone(),
            digest: call.request.digest,
            epoch,
            phase,
        })
    }
}
