//! Event handler that the process's event loop runs.

use ::watch::commands::start_due_reads;
use base::prelude::*;

use crate::commands::{attempts, calls, holds, ledger, peers, queue, shutdown, targets, watch};
use crate::queries::{next_deadline, reply_to_query};
use crate::{GatewayEffect, GatewayEvent, GatewayState};

/// Gateway as an event handler.
#[derive(Debug)]
pub struct GatewayLoop(pub GatewayState);

impl EventHandler for GatewayLoop {
    type Event = GatewayEvent;
    type Effect = GatewayEffect;

    fn handle(&mut self, event: GatewayEvent, now: ClockTime) -> Vec<GatewayEffect> {
        let mut effects = self.expire(now);
        let state = &mut self.0;
        let following = match event {
            GatewayEvent::CallArrived(arrival) => calls::receive(state, arrival, now),
            GatewayEvent::ResponseStarted { call } => {
                attempts::record_response_start(state, call, now)
            }
            GatewayEvent::AttemptSilent { call, attempt } => {
                holds::record_silence(state, call, attempt, now)
            }
            GatewayEvent::AttemptProgressed { call, attempt } => {
                holds::record_progress(state, call, attempt, now)
            }
            GatewayEvent::AttemptEnded { call, attempt, end } => {
                attempts::complete(state, call, attempt, end, now)
            }
            GatewayEvent::CallerDisconnected { call } => attempts::discard_caller(state, call, now),
            GatewayEvent::Watch(event) => {
                let mut effects = peers::publish_read(state, &event, now);
                effects.extend(watch::complete_read(state, event, now));
                effects
            }
            GatewayEvent::Peer(event) => peers::receive(state, event, now),
            GatewayEvent::ShardRead { shard, read } => {
                let effects = state.ledger.complete_read(shard, read, now);
                ledger::apply(state, effects, now)
            }
            GatewayEvent::ShardWritten { shard, outcome } => {
                let effects = state.ledger.complete_write(shard, outcome, now);
                ledger::apply(state, effects, now)
            }
            GatewayEvent::EpochRead(read) => {
                let effects = state.ledger.complete_epoch_read(read, now);
                ledger::apply(state, effects, now)
            }
            GatewayEvent::EpochWritten(outcome) => {
                let effects = state.ledger.complete_epoch_write(outcome, now);
                ledger::apply(state, effects, now)
            }
            GatewayEvent::QueryReceived { id, query } => {
                let reply = reply_to_query(state, query, now);
                vec![GatewayEffect::Reply { id, reply }]
            }
            GatewayEvent::ShutdownRequested => shutdown::begin(state, now),
            GatewayEvent::CallersDisconnected => shutdown::record_callers_disconnected(state),
        };
        effects.extend(following);
        effects.extend(self.wake(now));
        effects
    }

    fn wake(&mut self, now: ClockTime) -> Vec<GatewayEffect> {
        let state = &mut self.0;
        let reads = start_due_reads(&mut state.watch, now);
        let mut effects: Vec<_> = reads.into_iter().map(GatewayEffect::Watch).collect();
        effects.extend(self.expire(now));
        effects.extend(holds::advance(&mut self.0, now));
        effects.extend(shutdown::advance(&mut self.0, now));
        effects.extend(peers::advance(&mut self.0, now));
        effects
    }

    fn next_deadline(&self) -> Option<ClockTime> {
        next_deadline(&self.0)
    }
}

impl GatewayLoop {
    /// Drops expired reports and ends calls whose deadline has passed.
    ///
    /// Runs before each event, because the process may have been paused since the
    /// last one and must not decide on expired data.
    fn expire(&mut self, now: ClockTime) -> Vec<GatewayEffect> {
        let state = &mut self.0;
        let mut effects = targets::drop_expired(state, now);
        effects.extend(queue::expire(state, now));
        effects
    }
}
