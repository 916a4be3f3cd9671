//! The handler that the process's loop runs.

use base::prelude::*;

use crate::commands::{calls, poll, stop, targets, watch};
use crate::queries::{answer_question, next_deadline};
use crate::{GatewayEffect, GatewayEvent, GatewayState};

/// Gateway as a handler of events.
#[derive(Debug)]
pub struct GatewayLoop(pub GatewayState);

impl EventHandler for GatewayLoop {
    type Event = GatewayEvent;
    type Effect = GatewayEffect;

    fn handle(&mut self, event: GatewayEvent, now: ClockTime) -> Vec<GatewayEffect> {
        let state = &mut self.0;
        let mut effects = match event {
            GatewayEvent::CallArrived(arrival) => calls::arrive(state, arrival, now),
            GatewayEvent::AnswerBegan { call } => calls::note_begin(state, call, now),
            GatewayEvent::AttemptEnded { call, end } => calls::conclude(state, call, end, now),
            GatewayEvent::DocumentRead(read) => watch::observe_document(state, read, now),
            GatewayEvent::GoodSectionsRead(read) => watch::observe_good_sections(state, read, now),
            GatewayEvent::FabricsRead(read) => watch::observe_fabrics(state, read, now),
            GatewayEvent::DrainsRead(read) => watch::observe_drains(state, read, now),
            GatewayEvent::HostsRead(read) => watch::observe_hosts(state, read, now),
            GatewayEvent::HostReported {
                host,
                asked_at,
                report,
            } => watch::observe_report(state, &host, asked_at, report, now),
            GatewayEvent::ShardRead { shard, read } => {
                let effects = state.ledger.conclude_read(shard, read, now);
                calls::apply_ledger(state, effects, now)
            }
            GatewayEvent::ShardWritten { shard, outcome } => {
                let effects = state.ledger.conclude_write(shard, outcome, now);
                calls::apply_ledger(state, effects, now)
            }
            GatewayEvent::EpochRead(read) => {
                let effects = state.ledger.conclude_epoch_read(read, now);
                calls::apply_ledger(state, effects, now)
            }
            GatewayEvent::EpochWritten(outcome) => {
                let effects = state.ledger.conclude_epoch_write(outcome, now);
                calls::apply_ledger(state, effects, now)
            }
            GatewayEvent::Asked { ask, question } => {
                let answer = answer_question(state, question, now);
                vec![GatewayEffect::Tell { ask, answer }]
            }
            GatewayEvent::StopRequested => stop::request(state, now),
            GatewayEvent::CallersGone => stop::finish(state),
        };
        effects.extend(self.wake(now));
        effects
    }

    fn wake(&mut self, now: ClockTime) -> Vec<GatewayEffect> {
        let state = &mut self.0;
        let mut effects = poll::start_due(state, now);
        effects.extend(targets::drop_expired(state, now));
        effects.extend(calls::expire(state, now));
        effects.extend(stop::advance(state, now));
        effects
    }

    fn next_deadline(&self) -> Option<ClockTime> {
        next_deadline(&self.0)
    }
}
