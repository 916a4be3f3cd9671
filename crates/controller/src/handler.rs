//! Event handler that the process's event loop runs.

use ::watch::commands::start_due_reads;
use base::prelude::*;

use crate::commands::{fabrics, shutdown, watch};
use crate::queries::{controller_status, next_deadline};
use crate::{ControllerEffect, ControllerEvent, ControllerState};

/// Controller as an event handler.
#[derive(Debug)]
pub struct ControllerLoop(pub ControllerState);

impl EventHandler for ControllerLoop {
    type Event = ControllerEvent;
    type Effect = ControllerEffect;

    fn handle(&mut self, event: ControllerEvent, now: ClockTime) -> Vec<ControllerEffect> {
        let state = &mut self.0;
        let mut effects = Vec::new();
        match event {
            ControllerEvent::Watch(event) => watch::complete_read(state, event, now),
            ControllerEvent::FabricRead { fabric, read } => {
                fabrics::complete_read(state, &fabric, read, now);
            }
            ControllerEvent::FabricWritten {
                fabric,
                nonce,
                outcome,
            } => effects = fabrics::complete_write(state, &fabric, nonce, outcome, now),
            ControllerEvent::StatusRequested { id } => {
                let status = Box::new(controller_status(state, now));
                effects.push(ControllerEffect::Reply { id, status });
            }
            ControllerEvent::ShutdownRequested => effects = shutdown::begin(state, now),
        }
        effects.extend(self.wake(now));
        effects
    }

    fn wake(&mut self, now: ClockTime) -> Vec<ControllerEffect> {
        let state = &mut self.0;
        let mut effects = fabrics::tick(state, now);
        watch::select_polled_hosts(state, now);
        let reads = start_due_reads(&mut state.watch, now);
        effects.extend(reads.into_iter().map(ControllerEffect::Watch));
        effects.extend(shutdown::advance(state, now));
        effects
    }

    fn next_deadline(&self) -> Option<ClockTime> {
        next_deadline(&self.0)
    }
}
