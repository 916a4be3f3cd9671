//! Requests to the store about shards.

use std::collections::BTreeSet;

use base::prelude::*;

use crate::state::{CallStage, CallState, Effects, ShardRequest};
use crate::{CallVerdict, LedgerEffect, LedgerState, NotRunReason, ShardContents, ShardId};

use super::draft::ShardDraft;

impl LedgerState {
    /// Starts the next read or write of a shard if one is due.
    pub(crate) fn start_shard_request(
        &mut self,
        shard: ShardId,
        now: ClockTime,
        effects: &mut Effects,
    ) {
        let Some(state) = self.shards.get(&shard) else {
            return;
        };
        if state.in_flight.is_some() || now < state.not_before {
            return;
        }
        let poll_due = now >= state.poll_at;
        let has_epoch = self.epoch_for_records(now).is_some();
        let calls = || state.calls.iter().filter_map(|call| self.calls.get(call));
        let joined_remote = CallStage::Joined { local: false };
        let has_start = calls().any(|call| needs_start_record(call, now));
        let has_final = calls().any(needs_final_write);
        let has_joined = calls().any(|call| call.stage == joined_remote);
        if (has_start || has_final) && !self.has_valid_cache(shard, now) {
            self.read_shard(shard, now, effects);
        } else if has_final || (has_start && has_epoch) {
            self.write_shard(shard, now, effects);
        } else if has_joined && poll_due {
            self.poll_shard(shard, now, effects);
        }
    }

    /// Whether a shard's contents are cached and recent enough to be written on.
    pub(crate) fn has_valid_cache(&self, shard: ShardId, now: ClockTime) -> bool {
        let validity = self.settings.cache_validity;
        let state = self.shards.get(&shard);
        state.is_some_and(|state| {
            state.contents.is_some() && now.since(state.received_at) <= validity
        })
    }

    fn read_shard(&mut self, shard: ShardId, now: ClockTime, effects: &mut Effects) {
        if let Some(state) = self.shards.get_mut(&shard) {
            state.in_flight = Some(ShardRequest::Read { sent_at: now });
            effects.push(LedgerEffect::ReadShard { shard });
        }
    }

    fn poll_shard(&mut self, shard: ShardId, now: ClockTime, effects: &mut Effects) {
        let polls = self.shards.get(&shard).map_or(0, |state| state.polls);
        let backoff = self.jittered_backoff(polls);
        if let Some(state) = self.shards.get_mut(&shard) {
            state.polls = polls.saturating_add(1);
            state.poll_at = now + backoff;
        }
        self.read_shard(shard, now, effects);
    }

    /// Starts one conditional update with all changes that wait for the shard.
    fn write_shard(&mut self, shard: ShardId, now: ClockTime, effects: &mut Effects) {
        let Some(base) = self
            .shards
            .get(&shard)
            .and_then(|state| state.contents.clone())
        else {
            return;
        };
        let draft = self.draft_shard(shard, &base, now);
        for call in draft.refused {
            self.close_call(call, CallVerdict::NotRun(NotRunReason::ShardFull), effects);
        }
        if draft.changed {
            self.record_first_write(&draft.started, now);
            self.send_write(shard, draft.contents, draft.started, now, effects);
        } else {
            self.resolve_shard_calls(shard, now, effects);
            self.back_off_idle_shard(shard, now);
        }
    }

    /// Backs off, because nothing can be written at present.
    fn back_off_idle_shard(&mut self, shard: ShardId, now: ClockTime) {
        let backoff = self.jittered_backoff(0);
        if let Some(state) = self.shards.get_mut(&shard) {
            state.not_before = now + backoff;
        }
    }

    fn record_first_write(&mut self, calls: &BTreeSet<CallId>, now: ClockTime) {
        for call in calls {
            if let Some(call) = self.calls.get_mut(call)
                && call.unresolved_write.is_none()
            {
                call.first_write_at = now;
            }
        }
    }

    fn draft_shard(&self, shard: ShardId, base: &ShardContents, now: ClockTime) -> ShardDraft {
        let mut draft = ShardDraft::new(base, self.epoch_for_records(now));
        draft.remove_expired(self.epoch.newest, self.settings.retention_epochs);
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
        contents: ShardContents,
        calls: BTreeSet<CallId>,
        now: ClockTime,
        effects: &mut Effects,
    ) {
        let Some(state) = self.shards.get_mut(&shard) else {
            return;
        };
        let contents = Arc::new(contents);
        state.in_flight = Some(ShardRequest::Write {
            sent_at: now,
            expected: state.newest_version,
            contents: contents.clone(),
            calls,
        });
        effects.push(LedgerEffect::WriteShard {
            shard,
            expected: state.newest_version,
            contents,
        });
    }
}

fn needs_start_record(call: &CallState, now: ClockTime) -> bool {
    call.stage == CallStage::Recording && now < call.reply_deadline
}

fn needs_final_write(call: &CallState) -> bool {
    matches!(
        call.stage,
        CallStage::Finishing(_) | CallStage::Withdrawing(_)
    )
}
