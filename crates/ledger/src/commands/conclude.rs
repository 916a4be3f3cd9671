//! A call to the store has ended.

use std::collections::BTreeSet;

use base::prelude::*;
use rand::RngExt;
use store::UpdateOutcome;

use crate::state::{CallStage, CallState, Effects, ShardFlight};
use crate::{
    CallVerdict, LedgerEffect, LedgerState, NotRunReason, ShardContents, ShardId, ShardRead,
};

/// Doublings after which a pause stays the longest.
const PAUSE_DOUBLINGS: u32 = 16;

impl LedgerState {
    /// Takes in the end of a shard's read.
    pub fn complete_read(
        &mut self,
        shard: ShardId,
        read: ShardRead,
        now: ClockTime,
    ) -> Vec<LedgerEffect> {
        let mut effects = Effects::new();
        let Some(ShardFlight::Read { sent_at }) = self.take_flight(shard) else {
            return effects;
        };
        let floor = self.shard_floor(shard);
        match read {
            ShardRead::Found { version, record } if version >= floor => {
                self.learn(shard, version, record, sent_at, now);
                self.settle_shard(shard, now, &mut effects);
            }
            ShardRead::Missing if floor == ObjectVersion::default() => {
                self.learn(shard, floor, Arc::default(), sent_at, now);
                self.settle_shard(shard, now, &mut effects);
            }
            // An older version than one already seen is no news of the shard.
            ShardRead::Found { .. } | ShardRead::Missing => self.pause_shard(shard, now),
            ShardRead::Unavailable => self.lose_store(shard, now, &mut effects),
        }
        self.pump_shard(shard, now, &mut effects);
        effects
    }

    /// Takes in the end of a shard's conditional update.
    pub fn complete_write(
        &mut self,
        shard: ShardId,
        outcome: UpdateOutcome,
        now: ClockTime,
    ) -> Vec<LedgerEffect> {
        let mut effects = Effects::new();
        let Some(flight) = self.take_flight(shard) else {
            return effects;
        };
        let ShardFlight::Write {
            sent_at,
            expected,
            record,
            calls,
        } = flight
        else {
            return effects;
        };
        match outcome {
            UpdateOutcome::Applied(version) => {
                self.learn(shard, version, record, sent_at, now);
                self.settle_shard(shard, now, &mut effects);
            }
            UpdateOutcome::Conflict => self.forget_record(shard),
            UpdateOutcome::TooLarge => self.refuse_full(shard, &calls, now, &mut effects),
            UpdateOutcome::Unavailable => self.lose_store(shard, now, &mut effects),
            UpdateOutcome::Unknown => {
                self.doubt_calls(&calls, expected);
                self.forget_record(shard);
                self.pause_shard(shard, now);
            }
        }
        self.pump_shard(shard, now, &mut effects);
        effects
    }

    fn take_flight(&mut self, shard: ShardId) -> Option<ShardFlight> {
        self.shards.get_mut(&shard)?.flight.take()
    }

    fn shard_floor(&self, shard: ShardId) -> ObjectVersion {
        let state = self.shards.get(&shard);
        state.map_or(ObjectVersion::default(), |state| state.floor)
    }

    /// Keeps contents that are as new as any seen before.
    fn learn(
        &mut self,
        shard: ShardId,
        version: ObjectVersion,
        record: Arc<ShardContents>,
        asked_at: ClockTime,
        now: ClockTime,
    ) {
        let state = self.shards.entry(shard).or_default();
        state.sightings.retain(|key, sighting| {
            let mark = record.marks.get(key);
            mark.is_some_and(|mark| mark.attempt == sighting.attempt)
        });
        state.floor = version;
        state.record = Some(record);
        state.asked_at = asked_at;
        state.seen_at = now;
        state.failures = 0;
        state.down = false;
        for call in &state.calls {
            let Some(call) = self.calls.get_mut(call) else {
                continue;
            };
            // Only a newer version shows that an unanswered update can't arrive
            // any more.
            if call.doubt.is_some_and(|expected| version > expected) {
                call.doubt = None;
            }
        }
    }

    fn forget_record(&mut self, shard: ShardId) {
        if let Some(state) = self.shards.get_mut(&shard) {
            state.record = None;
        }
    }

    fn doubt_calls(&mut self, calls: &BTreeSet<CallId>, expected: ObjectVersion) {
        for call in calls {
            if let Some(call) = self.calls.get_mut(call) {
                call.doubt = Some(expected);
            }
        }
    }

    /// The store gave no answer: refuses what certainly has no mark.
    fn lose_store(&mut self, shard: ShardId, now: ClockTime, effects: &mut Effects) {
        self.pause_shard(shard, now);
        if let Some(state) = self.shards.get_mut(&shard) {
            state.down = true;
        }
        for call in self.shard_calls(shard) {
            if self.is_unmarked(call) {
                self.tell_last(
                    call,
                    CallVerdict::NotRun(NotRunReason::StoreUnavailable),
                    effects,
                );
            }
        }
    }

    fn refuse_full(
        &mut self,
        shard: ShardId,
        calls: &BTreeSet<CallId>,
        now: ClockTime,
        effects: &mut Effects,
    ) {
        self.pause_shard(shard, now);
        for &call in calls {
            if self.is_unmarked(call) {
                self.tell_last(call, CallVerdict::NotRun(NotRunReason::ShardFull), effects);
            }
        }
    }

    /// Whether a call certainly has no mark: none of its updates took effect,
    /// is under way or in doubt.
    pub(crate) fn is_unmarked(&self, call: CallId) -> bool {
        let Some(state) = self.calls.get(&call) else {
            return false;
        };
        state.phase == CallStage::Wanting && !self.may_be_marked(state)
    }

    /// Whether an update that makes a call's mark is under way or in doubt.
    pub(crate) fn may_be_marked(&self, call: &CallState) -> bool {
        let shard = self.shards.get(&call.shard);
        let flying = match shard.and_then(|shard| shard.flight.as_ref()) {
            Some(ShardFlight::Write { calls, .. }) => calls.contains(&call.request.call),
            _ => false,
        };
        flying || call.doubt.is_some()
    }

    fn pause_shard(&mut self, shard: ShardId, now: ClockTime) {
        let Some(state) = self.shards.get_mut(&shard) else {
            return;
        };
        let failures = state.failures;
        state.failures = failures.saturating_add(1);
        let pause = self.jittered_pause(failures);
        if let Some(state) = self.shards.get_mut(&shard) {
            state.not_before = now + pause;
        }
    }

    /// Pause that doubles with every failure, between its half and its whole.
    pub(crate) fn jittered_pause(&mut self, failures: u32) -> Duration {
        let factor = 1 << failures.min(PAUSE_DOUBLINGS);
        let whole = self.settings.shortest_pause.saturating_mul(factor);
        self.jittered(whole.min(self.settings.longest_pause))
    }

    /// Between half of a span and the whole.
    pub(crate) fn jittered(&mut self, whole: Duration) -> Duration {
        whole.mul_f64(self.random.random_range(0.5..=1.0))
    }
}
