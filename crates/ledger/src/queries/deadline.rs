//! Next deadline of the ledger.

use base::prelude::*;

use crate::LedgerState;
use crate::state::{CallStage, CallState, ShardState};

impl LedgerState {
    /// Instant at which [`LedgerState::expire`] is next due; `None` if nothing is pending.
    pub fn next_deadline(&self) -> Option<ClockTime> {
        let replies = self.calls.values().filter_map(call_deadline);
        let shards = self.active.iter().filter_map(|id| self.shards.get(id));
        let shards = shards.filter_map(|shard| self.shard_deadline(shard));
        replies.chain(shards).chain(self.epoch_due()).min()
    }

    /// Instant of the next read of the epoch; `None` if none is needed or one is in flight.
    ///
    /// A process reads the epoch for its first call and regularly from then on.
    pub(crate) fn epoch_due(&self) -> Option<ClockTime> {
        let needed = self.epoch.newest.is_some() || self.has_recording();
        (needed && self.epoch.in_flight.is_none()).then_some(self.epoch.not_before)
    }

    fn shard_deadline(&self, shard: &ShardState) -> Option<ClockTime> {
        if shard.in_flight.is_some() {
            return None;
        }
        let calls = shard.calls.iter().filter_map(|call| self.calls.get(call));
        calls
            .filter_map(|call| self.write_deadline(call, shard))
            .min()
    }

    /// Instant at which a call next needs a request to the store; `None` if that depends on
    /// another event.
    fn write_deadline(&self, call: &CallState, shard: &ShardState) -> Option<ClockTime> {
        match call.stage {
            CallStage::Sent { .. } | CallStage::Joined { local: true } => None,
            CallStage::Joined { local: false } => Some(shard.poll_at.max(shard.not_before)),
            CallStage::Recording if self.epoch.record_epoch.is_none() => None,
            CallStage::Recording | CallStage::Finishing(_) | CallStage::Withdrawing(_) => {
                Some(shard.not_before)
            }
        }
    }
}

fn call_deadline(call: &CallState) -> Option<ClockTime> {
    let reply = (!call.has_verdict).then_some(call.reply_deadline);
    let run = match call.stage {
        CallStage::Sent { run_deadline } => Some(run_deadline),
        _ => None,
    };
    reply.into_iter().chain(run).min()
}
