//! The handler that the process's loop runs.

use ::watch::commands::start_due_reads;
use base::prelude::*;

use crate::commands::{fabrics, stop, watch};
use crate::queries::{describe, next_deadline};
use crate::{ControllerEffect, ControllerEvent, ControllerState};

/// Controller as a handler of events.
#[derive(Debug)]
pub struct ControllerLoop(pub ControllerState);

impl EventHandler for ControllerLoop {
    type Event = ControllerEvent;
    type Effect = ControllerEffect;

    fn handle(&mut self, event: ControllerEvent, now: ClockTime) -> Vec<ControllerEffect> {
        let state = &mut self.0;
        let mut effects = Vec::new();
        match event {
            ControllerEvent::Watch(event) => watch::take(state, event, now),
            ControllerEvent::FabricRead { fabric, read } => {
                fabrics::observe_read(state, &fabric, read, now);
            }
            ControllerEvent::FabricWritten {
                fabric,
                nonce,
                outcome,
            } => effects = fabrics::complete_write(state, &fabric, nonce, outcome, now),
            ControllerEvent::StatusAsked { ask } => {
                let status = Box::new(describe(state, now));
                effects.push(ControllerEffect::Tell { ask, status });
            }
            ControllerEvent::StopRequested => effects = stop::request(state, now),
        }
        effects.extend(self.wake(now));
        effects
    }

    fn wake(&mut self, now: ClockTime) -> Vec<ControllerEffect> {
        let state = &mut self.0;
        let mut effects = fabrics::tick(state, now);
        watch::ask_hosts(state, now);
        let reads = start_due_reads(&mut state.watch, now);
        effects.extend(reads.into_iter().map(ControllerEffect::Watch));
        effects.extend(stop::advance(state, now));
        effects
    }

    fn next_deadline(&self) -> Option<ClockTime> {
        next_deadline(&self.0)
    }
}
