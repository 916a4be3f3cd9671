//! The handler that the process's loop runs.

use base::prelude::*;

use crate::commands::{fabrics, poll, stop, watch};
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
            ControllerEvent::DocumentRead(read) => watch::observe_document(state, read, now),
            ControllerEvent::GoodSectionsRead(read) => {
                watch::observe_good_sections(state, read, now);
            }
            ControllerEvent::FabricsRead(read) => watch::observe_fabrics(state, read, now),
            ControllerEvent::FabricRead { fabric, read } => {
                fabrics::observe_read(state, &fabric, read, now);
            }
            ControllerEvent::FabricWritten {
                fabric,
                nonce,
                outcome,
            } => effects = fabrics::conclude_write(state, &fabric, nonce, outcome, now),
            ControllerEvent::HostsRead(read) => watch::observe_hosts(state, read, now),
            ControllerEvent::DrainsRead(read) => watch::observe_drains(state, read, now),
            ControllerEvent::HostReported {
                host,
                asked_at,
                report,
            } => fabrics::observe_report(state, &host, asked_at, report, now),
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
        let mut effects = poll::start_due(state, now);
        effects.extend(fabrics::tick(state, now));
        effects.extend(stop::advance(state, now));
        effects
    }

    fn next_deadline(&self) -> Option<ClockTime> {
        next_deadline(&self.0)
    }
}
