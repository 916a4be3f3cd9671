//! Outcomes of requests to the store about shards.

use std::collections::BTreeSet;

use base::prelude::*;
use rand::RngExt;
use store::UpdateOutcome;

use crate::state::{CallStage, CallState, Effects, ShardRequest};
use crate::{
    CallVerdict, LedgerEffect, LedgerState, NotRunReason, ShardContents, ShardId, ShardRead,
};

/// Doublings after which a backoff no longer grows.
const MAX_BACKOFF_DOUBLINGS: u32 = 16;

impl LedgerState {
    /// Processes the outcome of a shard's read.
    pub fn complete_read(
        &mut self,
        shard: ShardId,
        read: ShardRead,
        now: ClockTime,
    ) -> Vec<LedgerEffect> {
        let mut effects = Effects::new();
        let Some(ShardRequest::Read { sent_at }) = self.take_in_flight(shard) else {
            return effects;
        };
        let newest_version = self.newest_shard_version(shard);
        match read {
            ShardRead::Found { version, contents } if version >= newest_version => {
                self.cache_contents(shard, version, contents, sent_at, now);
                self.resolve_shard_calls(shard, now, &mut effects);
            }
            ShardRead::Missing if newest_version == ObjectVersion::default() => {
                self.cache_contents(shard, newest_version, Arc::default(), sent_at, now);
                self.resolve_shard_calls(shard, now, &mut effects);
            }
            // A version older than one already seen says nothing about the present contents.
            ShardRead::Found { .. } | ShardRead::Missing => self.back_off_shard(shard, now),
            ShardRead::Unavailable => self.handle_outage(shard, now, &mut effects),
        }
        self.start_shard_request(shard, now, &mut effects);
        effects
    }

    /// Processes the outcome of a shard's conditional update.
    pub fn complete_write(
        &mut self,
        shard: ShardId,
        outcome: UpdateOutcome,
        now: ClockTime,
    ) -> Vec<LedgerEffect> {
        let mut effects = Effects::new();
        let Some(in_flight) = self.take_in_flight(shard) else {
            return effects;
        };
        let ShardRequest::Write {
            sent_at,
            expected,
            contents,
            calls,
        } = in_flight
        else {
            return effects;
        };
        match outcome {
            UpdateOutcome::Applied(version) => {
                self.cache_contents(shard, version, contents, sent_at, now);
                self.resolve_shard_calls(shard, now, &mut effects);
            }
            UpdateOutcome::Conflict => self.clear_cache(shard),
            UpdateOutcome::TooLarge => self.handle_full_shard(shard, &calls, now, &mut effects),
            UpdateOutcome::Unavailable => self.handle_outage(shard, now, &mut effects),
            UpdateOutcome::Unknown => {
                self.set_unresolved(&calls, expected);
                self.clear_cache(shard);
                self.back_off_shard(shard, now);
            }
        }
        self.start_shard_request(shard, now, &mut effects);
        effects
    }

    fn take_in_flight(&mut self, shard: ShardId) -> Option<ShardRequest> {
        self.shards.get_mut(&shard)?.in_flight.take()
    }

    fn newest_shard_version(&self, shard: ShardId) -> ObjectVersion {
        let state = self.shards.get(&shard);
        state.map_or(ObjectVersion::default(), |state| state.newest_version)
    }

    /// Caches contents, which must be at least as new as any seen before.
    fn cache_contents(
        &mut self,
        shard: ShardId,
        version: ObjectVersion,
        contents: Arc<ShardContents>,
        requested_at: ClockTime,
        now: ClockTime,
    ) {
        let state = self.shards.entry(shard).or_default();
        state.observed.retain(|key, observed_attempt| {
            let record = contents.records.get(key);
            record.is_some_and(|record| record.attempt == observed_attempt.attempt)
        });
        state.newest_version = version;
        state.contents = Some(contents);
        state.requested_at = requested_at;
        state.received_at = now;
        state.failures = 0;
        state.is_unavailable = false;
        for call in &state.calls {
            let Some(call) = self.calls.get_mut(call) else {
                continue;
            };
            // Only a newer version proves that an update with an unknown outcome can no longer
            // take effect.
            if call
                .unresolved_write
                .is_some_and(|expected| version > expected)
            {
                call.unresolved_write = None;
            }
        }
    }

    fn clear_cache(&mut self, shard: ShardId) {
        if let Some(state) = self.shards.get_mut(&shard) {
            state.contents = None;
        }
    }

    fn set_unresolved(&mut self, calls: &BTreeSet<CallId>, expected: ObjectVersion) {
        for call in calls {
            if let Some(call) = self.calls.get_mut(call) {
                call.unresolved_write = Some(expected);
            }
        }
    }

    /// Handles a store that does not respond: refuses the calls that certainly have no record.
    fn handle_outage(&mut self, shard: ShardId, now: ClockTime, effects: &mut Effects) {
        self.back_off_shard(shard, now);
        if let Some(state) = self.shards.get_mut(&shard) {
            state.is_unavailable = true;
        }
        for call in self.shard_calls(shard) {
            if self.is_unrecorded(call) {
                self.close_call(
                    call,
                    CallVerdict::NotRun(NotRunReason::StoreUnavailable),
                    effects,
                );
            }
        }
    }

    fn handle_full_shard(
        &mut self,
        shard: ShardId,
        calls: &BTreeSet<CallId>,
        now: ClockTime,
        effects: &mut Effects,
    ) {
        self.back_off_shard(shard, now);
        for &call in calls {
            if self.is_unrecorded(call) {
                self.close_call(call, CallVerdict::NotRun(NotRunReason::ShardFull), effects);
            }
        }
    }

    /// Whether a call certainly has no record: none of its updates took effect, is in flight or
    /// has an unknown outcome.
    pub(crate) fn is_unrecorded(&self, call: CallId) -> bool {
        let Some(state) = self.calls.get(&call) else {
            return false;
        };
        state.stage == CallStage::Recording && !self.may_be_recorded(state)
    }

    /// Whether an update with a call's record is in flight or has an unknown outcome.
    pub(crate) fn may_be_recorded(&self, call: &CallState) -> bool {
        let shard = self.shards.get(&call.shard);
        let is_in_flight = match shard.and_then(|shard| shard.in_flight.as_ref()) {
            Some(ShardRequest::Write { calls, .. }) => calls.contains(&call.request.call),
            _ => false,
        };
        is_in_flight || call.unresolved_write.is_some()
    }

    fn back_off_shard(&mut self, shard: ShardId, now: ClockTime) {
        let Some(state) = self.shards.get_mut(&shard) else {
            return;
        };
        let failures = state.failures;
        state.failures = failures.saturating_add(1);
        let backoff = self.jittered_backoff(failures);
        if let Some(state) = self.shards.get_mut(&shard) {
            state.not_before = now + backoff;
        }
    }

    /// Backoff that doubles with every failure, with jitter of up to half of it.
    pub(crate) fn jittered_backoff(&mut self, failures: u32) -> Duration {
        let factor = 1 << failures.min(MAX_BACKOFF_DOUBLINGS);
        let backoff = self.settings.min_backoff.saturating_mul(factor);
        self.jittered(backoff.min(self.settings.max_backoff))
    }

    /// Random duration between half of `max` and `max`.
    pub(crate) fn jittered(&mut self, max: Duration) -> Duration {
        max.mul_f64(self.random.random_range(0.5..=1.0))
    }
}
