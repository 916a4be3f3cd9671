//! Starts whatever is due to be read.

use base::prelude::*;

use crate::{ControllerEffect, ControllerState, queries};

/// Time in which a host must answer.
const ANSWER_SPAN: Duration = Duration::from_secs(1);

/// Starts every read that is due.
pub fn start_due(state: &mut ControllerState, now: ClockTime) -> Vec<ControllerEffect> {
    let mut effects = Vec::new();
    if state.polls.document.take(now) {
        effects.push(ControllerEffect::ReadDocument {
            after: state.config.in_force.version,
            deadline: now + state.times.watch_span,
        });
    }
    if state.polls.good_sections.take(now) {
        effects.push(ControllerEffect::ReadGoodSections);
    }
    if state.polls.fabrics.take(now) {
        effects.push(ControllerEffect::ReadFabrics);
    }
    if state.polls.hosts.take(now) {
        effects.push(ControllerEffect::ReadHosts);
    }
    if state.polls.drains.take(now) {
        effects.push(ControllerEffect::ReadDrains);
    }
    effects.extend(ask_hosts(state, now));
    effects
}

/// Asks the hosts of the fabric domains that this node owns.
fn ask_hosts(state: &mut ControllerState, now: ClockTime) -> Vec<ControllerEffect> {
    let owned = queries::owned_hosts(state, now);
    let timers = &mut state.polls.reports;
    timers.retain(|host, _| owned.contains_key(host));
    let next = now + state.times.poll_interval;
    let mut effects = Vec::new();
    for (host, address) in owned {
        let due = timers.entry(host.clone()).or_default();
        if *due > now {
            continue;
        }
        *due = next;
        effects.push(ControllerEffect::AskHost {
            host,
            address,
            deadline: now + ANSWER_SPAN,
        });
    }
    effects
}
