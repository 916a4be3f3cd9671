//! Starts the reads that are due.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use base::prelude::*;

use crate::state::HostPoll;
use crate::{WatchEffect, WatchState};

/// Timeout of a request for a host's report.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// Sets the hosts to poll; hosts that were not polled before are due at once.
pub fn set_polled_hosts(state: &mut WatchState, hosts: BTreeMap<HostName, SocketAddr>) {
    let polls = &mut state.polls;
    polls.retain(|host, _| hosts.contains_key(host));
    for (host, address) in hosts {
        let next_at = ClockTime::default();
        let poll = HostPoll { address, next_at };
        polls.entry(host).or_insert(poll).address = address;
    }
}

/// Starts every read that is due.
pub fn start_due_reads(state: &mut WatchState, now: ClockTime) -> Vec<WatchEffect> {
    let mut effects = Vec::new();
    if state.document_timer.take_due(now) {
        effects.push(WatchEffect::ReadDocument {
            after: state.config.in_force.version,
            deadline: now + state.times.watch_timeout,
        });
    }
    let reads = [
        (
            &mut state.good_sections_timer,
            WatchEffect::ReadGoodSections,
        ),
        (&mut state.fabrics_timer, WatchEffect::ReadFabrics),
        (&mut state.hosts_timer, WatchEffect::ReadHosts),
        (&mut state.drains_timer, WatchEffect::ReadDrains),
        (&mut state.gateways_timer, WatchEffect::CountGateways),
    ];
    for (timer, effect) in reads {
        if timer.take_due(now) {
            effects.push(effect);
        }
    }
    effects.extend(poll_hosts(state, now));
    effects
}

fn poll_hosts(state: &mut WatchState, now: ClockTime) -> Vec<WatchEffect> {
    let next = now + state.times.poll_interval;
    let mut effects = Vec::new();
    for (host, poll) in &mut state.polls {
        if poll.next_at > now {
            continue;
        }
        poll.next_at = next;
        effects.push(WatchEffect::PollHost {
            host: host.clone(),
            address: poll.address,
            deadline: now + REPORT_TIMEOUT,
        });
    }
    effects
}
