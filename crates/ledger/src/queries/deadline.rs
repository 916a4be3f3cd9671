//! When the ledger next has something to do.

use base::prelude::*;

use crate::LedgerState;
use crate::state::{CallStage, CallState, ShardState};

impl LedgerState {
    /// Instant at which [`LedgerState::expire`] is next due.
    pub fn next_deadline(&self) -> Option<ClockTime> {
        let replies = self.calls.values().filter_map(call_deadline);
        let shards = self.active.iter().filter_map(|id| self.shards.get(id));
        let shards = shards.filter_map(|shard| self.shard_deadline(shard));
        replies.chain(shards).chain(self.epoch_due()).min()
    }

    /// Instant of the epoch's next reading.
    ///
    /// A process that has had no call yet leaves the epoch alone. One whose
    /// epoch has grown too old for new marks reads it once a call wants one.
    pub(crate) fn epoch_due(&self) -> Option<ClockTime> {
        let needed = self.epoch.known.is_some() || self.has_wanting();
        (needed && self.epoch.flight.is_none()).then_some(self.epoch.not_before)
    }

    fn shard_deadline(&self, shard: &ShardState) -> Option<ClockTime> {
        if shard.flight.is_some() {
            return None;
        }
        let calls = shard.calls.iter().filter_map(|call| self.calls.get(call));
        calls
            .filter_map(|call| self.write_deadline(call, shard))
            .min()
    }

    /// Instant at which a call next wants the store, as far as it depends on
    /// time alone.
    fn write_deadline(&self, call: &CallState, shard: &ShardState) -> Option<ClockTime> {
        match call.phase {
            CallStage::Sent { .. } | CallStage::Joining { local: true } => None,
            CallStage::Joining { local: false } => Some(shard.poll_at.max(shard.not_before)),
            CallStage::Wanting if self.epoch.stamp.is_none() => None,
            CallStage::Wanting | CallStage::Finishing(_) | CallStage::Withdrawing(_) => {
                Some(shard.not_before)
            }
        }
    }
}

fn call_deadline(call: &CallState) -> Option<ClockTime> {
    let reply = (!call.told).then_some(call.reply_deadline);
    let run = match call.phase {
        CallStage::Sent { run_deadline } => Some(run_deadline),
        _ => None,
    };
    reply.into_iter().chain(run).min()
}
