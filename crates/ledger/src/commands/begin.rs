//! Start of a call.

use base::prelude::*;

use crate::state::{CallStage, CallState, Effects};
use crate::{CallVerdict, LedgerEffect, LedgerState, NotRunReason, ShardId, StartRequest};

impl LedgerState {
    /// Starts a non-idempotent call.
    ///
    /// The call's identity must be new in this process. The verdict may be returned
    /// at once or by a later command.
    pub fn begin(&mut self, request: StartRequest, now: ClockTime) -> Vec<LedgerEffect> {
        let shard = ShardId::of_key(&request.key, self.settings.shard_count);
        let call = request.call;
        let mut effects = Effects::new();
        self.add_call(request, shard, now);
        self.resolve_call(call, now, &mut effects);
        if self.is_refused_at_once(call, shard, now) {
            self.close_call(
                call,
                CallVerdict::NotRun(NotRunReason::StoreUnavailable),
                &mut effects,
            );
        }
        self.start_epoch_read(now, &mut effects);
        self.start_shard_request(shard, now, &mut effects);
        effects
    }

    fn add_call(&mut self, request: StartRequest, shard: ShardId, now: ClockTime) {
        self.batch_writes(shard, now);
        self.active.insert(shard);
        let state = self.shards.entry(shard).or_default();
        state.poll_at = now;
        state.polls = 0;
        state.calls.insert(request.call);
        let call = CallState {
            attempt: self.attempt(request.call),
            shard,
            begun_at: now,
            stage: CallStage::Recording,
            unresolved_write: None,
            first_write_at: now,
            reply_deadline: request.deadline,
            has_verdict: false,
            request,
        };
        let earlier = self.calls.insert(call.request.call, call);
        assert!(
            earlier.is_none(),
            "a call identity is used once per process"
        );
    }

    /// Whether a new call is refused without a request to the store, because the store is backing
    /// off after a failure.
    fn is_refused_at_once(&self, call: CallId, shard: ShardId, now: ClockTime) -> bool {
        let is_recording = self
            .calls
            .get(&call)
            .is_some_and(|call| call.stage == CallStage::Recording);
        let state = self.shards.get(&shard);
        let shard_unavailable =
            state.is_some_and(|state| state.is_unavailable && now < state.not_before);
        let epoch_unavailable = self.epoch_for_records(now).is_none()
            && self.epoch.failures > 0
            && now < self.epoch.not_before;
        is_recording && (shard_unavailable || epoch_unavailable)
    }
}
