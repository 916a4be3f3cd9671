//! The next call to the store about a shard.

use std::collections::BTreeSet;

use base::prelude::*;

use crate::state::{CallStage, CallState, Effects, ShardFlight};
use crate::{CallVerdict, LedgerEffect, LedgerState, NotRunReason, ShardContents, ShardId};

use super::write::ShardDraft;

impl LedgerState {
    /// Starts the next read or write of a shard if one is due.
    pub(crate) fn pump_shard(&mut self, shard: ShardId, now: ClockTime, effects: &mut Effects) {
        let Some(state) = self.shards.get(&shard) else {
            return;
        };
        if state.flight.is_some() || now < state.not_before {
            return;
        }
        let poll_due = now >= state.poll_at;
        let stamped = self.stamp_epoch(now).is_some();
        let calls = || state.calls.iter().filter_map(|call| self.calls.get(call));
        let polling = CallStage::Joining { local: false };
        let wanting = calls().any(|call| wants_mark(call, now));
        let ending = calls().any(wants_end);
        let joining = calls().any(|call| call.phase == polling);
        if (wanting || ending) && !self.is_trusted(shard, now) {
            self.read_shard(shard, now, effects);
        } else if ending || (wanting && stamped) {
            self.write_shard(shard, now, effects);
        } else if joining && poll_due {
            self.poll_shard(shard, now, effects);
        }
    }

    /// Whether a shard's contents are known and recent enough to be written.
    pub(crate) fn is_trusted(&self, shard: ShardId, now: ClockTime) -> bool {
        let trust = self.settings.cache_trust;
        let state = self.shards.get(&shard);
        state.is_some_and(|state| state.record.is_some() && now.since(state.seen_at) <= trust)
    }

    fn read_shard(&mut self, shard: ShardId, now: ClockTime, effects: &mut Effects) {
        if let Some(state) = self.shards.get_mut(&shard) {
            state.flight = Some(ShardFlight::Read { sent_at: now });
            effects.push(LedgerEffect::ReadShard { shard });
        }
    }

    fn poll_shard(&mut self, shard: ShardId, now: ClockTime, effects: &mut Effects) {
        let polls = self.shards.get(&shard).map_or(0, |state| state.polls);
        let pause = self.jittered_pause(polls);
        if let Some(state) = self.shards.get_mut(&shard) {
            state.polls = polls.saturating_add(1);
            state.poll_at = now + pause;
        }
        self.read_shard(shard, now, effects);
    }

    /// One conditional update for everything that waits on the shard.
    fn write_shard(&mut self, shard: ShardId, now: ClockTime, effects: &mut Effects) {
        let Some(base) = self
            .shards
            .get(&shard)
            .and_then(|state| state.record.clone())
        else {
            return;
        };
        let draft = self.draft_shard(shard, &base, now);
        for call in draft.refused {
            self.tell_last(call, CallVerdict::NotRun(NotRunReason::ShardFull), effects);
        }
        if draft.changed {
            self.note_marking(&draft.marked, now);
            self.send_write(shard, draft.record, draft.marked, now, effects);
        } else {
            self.settle_shard(shard, now, effects);
            self.rest_shard(shard, now);
        }
    }

    /// Nothing can be written for now, so nothing is tried for a while.
    fn rest_shard(&mut self, shard: ShardId, now: ClockTime) {
        let pause = self.jittered_pause(0);
        if let Some(state) = self.shards.get_mut(&shard) {
            state.not_before = now + pause;
        }
    }

    fn note_marking(&mut self, calls: &BTreeSet<CallId>, now: ClockTime) {
        for call in calls {
            if let Some(call) = self.calls.get_mut(call)
                && call.doubt.is_none()
            {
                call.marked_at = now;
            }
        }
    }

    fn draft_shard(&self, shard: ShardId, base: &ShardContents, now: ClockTime) -> ShardDraft {
        let mut draft = ShardDraft::new(base, self.stamp_epoch(now));
        draft.drop_old(self.epoch.known, self.settings.retention_epochs);
        for id in self.shard_calls(shard) {
            if let Some(call) = self.calls.get(&id) {
                draft.add(call, &self.settings, now);
            }
        }
        draft
    }

    fn send_write(
        &mut self,
        shard: ShardId,
        record: ShardContents,
        calls: BTreeSet<CallId>,
        now: ClockTime,
        effects: &mut Effects,
    ) {
        let Some(state) = self.shards.get_mut(&shard) else {
            return;
        };
        let record = Arc::new(record);
        state.flight = Some(ShardFlight::Write {
            sent_at: now,
            expected: state.floor,
            record: record.clone(),
            calls,
        });
        effects.push(LedgerEffect::WriteShard {
            shard,
            expected: state.floor,
            record,
        });
    }
}

fn wants_mark(call: &CallState, now: ClockTime) -> bool {
    call.phase == CallStage::Wanting && now < call.reply_deadline
}

fn wants_end(call: &CallState) -> bool {
    matches!(
        call.phase,
        CallStage::Finishing(_) | CallStage::Withdrawing(_)
    )
}
