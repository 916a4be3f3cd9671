//! When the ledger next has something to do.

use base::prelude::*;

use crate::LedgerState;
use crate::state::{CallPhase, CallState, ShardState};

impl LedgerState {
    /// Instant at which [`LedgerState::expire`] is next due.
    pub fn next_deadline(&self) -> Option<ClockTime> {
        let replies = self.calls.values().filter_map(call_deadline);
        let shards = self
            .shards
            .values()
            .filter_map(|shard| self.shard_deadline(shard));
        replies.chain(shards).min()
    }

    fn shard_deadline(&self, shard: &ShardState) -> Option<ClockTime> {
        if shard.flight.is_some() {
            return None;
        }
        let calls = shard.calls.iter().filter_map(|call| self.calls.get(call));
        let due = calls.filter_map(|call| match call.phase {
            CallPhase::Sent { .. } | CallPhase::Joining { local: true } => None,
            CallPhase::Joining { local: false } => Some(shard.poll_at.max(shard.not_before)),
            _ => Some(shard.not_before),
        });
        due.min()
    }
}

fn call_deadline(call: &CallState) -> Option<ClockTime> {
    let reply = (!call.told).then_some(call.reply_deadline);
    let run = match call.phase {
        CallPhase::Sent { run_deadline } => Some(run_deadline),
        _ => None,
    };
    reply.into_iter().chain(run).min()
}
