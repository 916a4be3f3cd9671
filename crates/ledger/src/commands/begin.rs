//! A call asks to be sent.

use base::prelude::*;

use crate::state::{CallStage, CallState, Effects};
use crate::{CallVerdict, LedgerEffect, LedgerState, NotRunReason, ShardId, StartRequest};

impl LedgerState {
    /// Takes in a non-idempotent call.
    ///
    /// Its number must be new in this process. The verdict may come at once or
    /// by a later command.
    pub fn begin(&mut self, request: StartRequest, now: ClockTime) -> Vec<LedgerEffect> {
        let shard = ShardId::of_key(&request.key, self.settings.shard_count);
        let call = request.call;
        let mut effects = Effects::new();
        self.add_call(request, shard, now);
        self.settle_call(call, now, &mut effects);
        if self.refuses_at_once(call, shard, now) {
            self.tell_last(
                call,
                CallVerdict::NotRun(NotRunReason::StoreUnavailable),
                &mut effects,
            );
        }
        self.pump_epoch(now, &mut effects);
        self.pump_shard(shard, now, &mut effects);
        effects
    }

    fn add_call(&mut self, request: StartRequest, shard: ShardId, now: ClockTime) {
        self.gather_shard(shard, now);
        self.active.insert(shard);
        let state = self.shards.entry(shard).or_default();
        state.poll_at = now;
        state.polls = 0;
        state.calls.insert(request.call);
        let call = CallState {
            attempt: self.attempt(request.call),
            shard,
            begun: now,
            phase: CallStage::Wanting,
            doubt: None,
            marked_at: now,
            reply_deadline: request.deadline,
            told: false,
            request,
        };
        let earlier = self.calls.insert(call.request.call, call);
        assert!(earlier.is_none(), "a call number is used once in a process");
    }

    /// Between two failed calls to the store, new calls needn't wait for it.
    fn refuses_at_once(&self, call: CallId, shard: ShardId, now: ClockTime) -> bool {
        let wanting = self
            .calls
            .get(&call)
            .is_some_and(|call| call.phase == CallStage::Wanting);
        let state = self.shards.get(&shard);
        let shard_down = state.is_some_and(|state| state.down && now < state.not_before);
        let epoch_down = self.stamp_epoch(now).is_none()
            && self.epoch.failures > 0
            && now < self.epoch.not_before;
        wanting && (shard_down || epoch_down)
    }
}
