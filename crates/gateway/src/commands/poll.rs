//! Starts whatever is due to be read.

use base::prelude::*;

use crate::state::{GatewayState, PollTimers};
use crate::{GatewayEffect, queries};

/// Time in which a host must answer.
const ANSWER_SPAN: Duration = Duration::from_secs(1);

/// Starts every read that is due.
pub fn start_due(state: &mut GatewayState, now: ClockTime) -> Vec<GatewayEffect> {
    let mut effects = Vec::new();
    if state.polls.document.take(now) {
        effects.push(GatewayEffect::ReadDocument {
            after: state.config.in_force.version,
            deadline: now + state.times.watch_span,
        });
    }
    if state.polls.good_sections.take(now) {
        effects.push(GatewayEffect::ReadGoodSections);
    }
    if state.polls.fabrics.take(now) {
        effects.push(GatewayEffect::ReadFabrics);
    }
    if state.polls.hosts.take(now) {
        effects.push(GatewayEffect::ReadHosts);
    }
    if state.polls.drains.take(now) {
        effects.push(GatewayEffect::ReadDrains);
    }
    effects.extend(ask_hosts(state, now));
    effects
}

/// Watches exactly the hosts whose answers matter.
pub fn set_watched(state: &mut GatewayState) {
    let watched = queries::watched_hosts(state);
    let PollTimers { reports, .. } = &mut state.polls;
    reports.retain(|host, _| watched.contains_key(host));
    for host in watched.into_keys() {
        reports.entry(host).or_default();
    }
    let reports = &state.polls.reports;
    state.reports.retain(|host, _| reports.contains_key(host));
}

fn ask_hosts(state: &mut GatewayState, now: ClockTime) -> Vec<GatewayEffect> {
    let due = state.polls.reports.values().any(|&at| at <= now);
    if !due {
        return Vec::new();
    }
    let watched = queries::watched_hosts(state);
    let next = now + state.times.poll_interval;
    let mut effects = Vec::new();
    for (host, at) in &mut state.polls.reports {
        if *at > now {
            continue;
        }
        *at = next;
        if let Some(&address) = watched.get(host) {
            effects.push(GatewayEffect::AskHost {
                host: host.clone(),
                address,
                deadline: now + ANSWER_SPAN,
            });
        }
    }
    effects
}
