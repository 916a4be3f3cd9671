//! Next contents of a shard.

use std::collections::BTreeSet;

use base::prelude::*;

use crate::state::{CallStage, CallState, EPOCH_MARGIN};
use crate::{
    CallPhase, CallRecord, FinishedCall, LedgerEpoch, LedgerSettings, RecordedResponse,
    ShardContents,
};

/// Contents that the next update of a shard will write.
pub(super) struct ShardDraft {
    pub contents: ShardContents,
    /// Whether the update is needed.
    pub changed: bool,
    /// Calls whose start records it adds.
    pub started: BTreeSet<CallId>,
    /// Calls whose start records have no room.
    pub refused: Vec<CallId>,
    epoch: Option<LedgerEpoch>,
    size: usize,
}

impl ShardDraft {
    pub fn new(base: &ShardContents, epoch: Option<LedgerEpoch>) -> Self {
        Self {
            contents: base.clone(),
            changed: false,
            started: BTreeSet::new(),
            refused: Vec::new(),
            epoch,
            size: base.size_bound(),
        }
    }

    /// Removes records that are older than the retention.
    ///
    /// The true epoch of a record may be one higher than stored, and that epoch may
    /// have been about to end.
    pub fn remove_expired(&mut self, newest: Option<LedgerEpoch>, retention: u64) {
        let Some(newest) = newest else {
            return;
        };
        let is_retained =
            |record: &CallRecord| newest.0 < record.epoch.0 + retention + EPOCH_MARGIN;
        self.contents
            .records
            .retain(|_, record| is_retained(record));
        self.size = self.contents.size_bound();
    }

    /// Adds the change that a call needs.
    pub fn add(&mut self, call: &CallState, settings: &LedgerSettings, now: ClockTime) {
        match &call.stage {
            CallStage::Recording if now < call.reply_deadline => {
                self.add_start_record(call, settings)
            }
            CallStage::Finishing(finished) => self.add_final_record(call, finished, settings),
            CallStage::Withdrawing(_) => self.remove_record(call),
            _ => {}
        }
    }

    fn add_start_record(&mut self, call: &CallState, settings: &LedgerSettings) {
        let key = &call.request.key;
        if self.contents.records.contains_key(key) {
            return;
        }
        let Some(record) = self.record_of(call, CallPhase::Running) else {
            return;
        };
        let size = record.size_bound(key);
        if self.size + size > settings.max_shard_bytes_for_records {
            self.refuse(call);
            return;
        }
        self.size += size;
        self.contents.records.insert(key.clone(), record);
        self.started.insert(call.request.call);
        self.changed = true;
    }

    fn refuse(&mut self, call: &CallState) {
        if call.unresolved_write.is_none() {
            self.refused.push(call.request.call);
        }
    }

    fn add_final_record(
        &mut self,
        call: &CallState,
        finished: &FinishedCall,
        settings: &LedgerSettings,
    ) {
        let is_other_attempt = |record: &CallRecord| record.attempt != call.attempt;
        if self
            .contents
            .records
            .get(&call.request.key)
            .is_some_and(is_other_attempt)
        {
            return;
        }
        let phase = match finished {
            FinishedCall::Unknown => CallPhase::Unknown,
            FinishedCall::Answered(response) => {
                CallPhase::Answered(self.fit_response(response, settings))
            }
        };
        let Some(record) = self.record_of(call, phase) else {
            return;
        };
        self.size += record.size_bound(&call.request.key);
        self.contents
            .records
            .insert(call.request.key.clone(), record);
        self.changed = true;
    }

    /// Response to record; without its body if that is too large.
    fn fit_response(
        &self,
        response: &RecordedResponse,
        settings: &LedgerSettings,
    ) -> RecordedResponse {
        let is_too_large = response.body.kept_len() > settings.max_body_bytes;
        if !is_too_large && self.size + response.size_bound() <= settings.max_shard_bytes_for_bodies
        {
            return response.clone();
        }
        RecordedResponse {
            body: response.body.omit(),
            ..response.clone()
        }
    }

    fn remove_record(&mut self, call: &CallState) {
        let key = &call.request.key;
        let is_this_attempt = |record: &CallRecord| record.attempt == call.attempt;
        if self.contents.records.get(key).is_some_and(is_this_attempt) {
            self.contents.records.remove(key);
            self.changed = true;
        }
        // An update with an unknown outcome may still arrive; any write on its version prevents it.
        self.changed |= call.unresolved_write.is_some();
    }

    /// Record of a call in a phase; `None` while the epoch is unknown.
    fn record_of(&self, call: &CallState, phase: CallPhase) -> Option<CallRecord> {
        let earlier = self.contents.records.get(&call.request.key);
        let epoch = earlier.map(|record| record.epoch).or(self.epoch)?;
        Some(CallRecord {
            attempt: call.attempt.clone(),
            digest: call.request.digest,
            epoch,
            phase,
        })
    }
}
