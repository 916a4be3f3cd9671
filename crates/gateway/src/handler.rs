//! The handler that the process's loop runs.

use ::watch::commands::start_due_reads;
use base::prelude::*;

use crate::commands::{attempts, calls, ledger, peers, queue, stop, targets, watch};
use crate::queries::{answer_question, next_deadline};
use crate::{GatewayEffect, GatewayEvent, GatewayState};

/// Gateway as a handler of events.
#[derive(Debug)]
pub struct GatewayLoop(pub GatewayState);

impl EventHandler for GatewayLoop {
    type Event = GatewayEvent;
    type Effect = GatewayEffect;

    fn handle(&mut self, event: GatewayEvent, now: ClockTime) -> Vec<GatewayEffect> {
        let mut effects = self.expire(now);
        let state = &mut self.0;
        let following = match event {
            GatewayEvent::CallArrived(arrival) => calls::arrive(state, arrival, now),
            GatewayEvent::AnswerBegan { call } => attempts::note_begin(state, call, now),
            GatewayEvent::AttemptEnded { call, end } => attempts::conclude(state, call, end, now),
            GatewayEvent::Watch(event) => {
                let mut effects = peers::share_read(state, &event, now);
                effects.extend(watch::take(state, event, now));
                effects
            }
            GatewayEvent::Peer(event) => peers::take(state, event, now),
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
            GatewayEvent::Asked { ask, question } => {
                let answer = answer_question(state, question, now);
                vec![GatewayEffect::Tell { ask, answer }]
            }
            GatewayEvent::StopRequested => stop::request(state, now),
            GatewayEvent::CallersGone => stop::note_callers_gone(state),
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
        effects.extend(stop::advance(&mut self.0, now));
        effects.extend(peers::advance(&mut self.0, now));
        effects
    }

    fn next_deadline(&self) -> Option<ClockTime> {
        next_deadline(&self.0)
    }
}

impl GatewayLoop {
    /// Drops what is no longer true.
    ///
    /// An event may find a process that was paused, so this comes before it.
    fn expire(&mut self, now: ClockTime) -> Vec<GatewayEffect> {
        let state = &mut self.0;
        let mut effects = targets::drop_expired(state, now);
        effects.extend(queue::expire(state, now));
        effects
    }
}
