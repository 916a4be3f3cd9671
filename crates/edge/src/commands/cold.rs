//! Servers that are cold: what this node reads of them, and what it sends them.

use base::prelude::*;
use notices::commands::{set_cold, take_cold_skips};
use notices::queries::cold_servers;
use notices::{ColdReading, ServerRun};
use replicas::Endpoint;

use super::refresh_targets;
use crate::border::ports::StoreCollection;
use crate::queries::{cold_hosts, cold_limits, cold_start, has_cold_limits};
use crate::{EdgeEffect, EdgeState};

/// Time after the start before a node names senders; it has read the entries of all nodes then,
/// also of those that started with it.
const SENDERS_START_DELAY: Duration = Duration::from_secs(3);

impl EdgeState {
    /// Treats all servers of a failure domain as cold until an instant, because its evacuation has
    /// ended. Each node does so by itself; one that gets its targets from the owner sends nothing
    /// to them until a message of the owner names senders.
    pub fn mark_domain_cold(&mut self, domain: &DomainName, until: ClockTime) {
        if !has_cold_limits(self) {
            return;
        }
        self.cold.mark_domain(domain, until);
        refresh_targets(self);
        self.needs_plan = true;
    }
}

/// Records what the entries of these endpoints say. `followed_since` is the instant of the last
/// read of the list before, if this one continues it.
pub(super) fn record_cold<'a>(
    state: &mut EdgeState,
    endpoints: impl Iterator<Item = &'a Endpoint>,
    followed_since: Option<ClockTime>,
    now: ClockTime,
) {
    if state.settings.bounds.cold.is_none() {
        return;
    }
    // Servers that start with the whole system start before there is traffic.
    let is_first_start = state.settings.is_first_start
        && now.since(state.started_at) < crate::state::COLD_START_WINDOW;
    for endpoint in endpoints {
        let Some(start) = cold_start(state, &endpoint.service) else {
            continue;
        };
        // Of a start within a longer gap nothing is known; the entry decides, as in the first list.
        let is_followed = followed_since.is_some_and(|at| now.since(at) < start.duration);
        let assumed = (is_followed && !is_first_start).then_some(start.duration);
        let reading = ColdReading {
            run: ServerRun {
                server: endpoint.id.clone(),
                incarnation: endpoint.incarnation,
            },
            version: endpoint.cold.map(|cold| cold.version).unwrap_or_default(),
            remaining: endpoint.cold.map(|cold| cold.remaining),
        };
        state.cold.record(&reading, assumed, now);
    }
}

/// Applies which targets are cold to what this node sends.
pub(super) fn apply_cold(state: &mut EdgeState) {
    let limits = cold_limits(state);
    let is_enabled = has_cold_limits(state);
    set_cold(state.relay.notices_mut(), limits, is_enabled);
}

/// Ends the times that are over, logs which servers are cold and warm, and reports their number.
pub(crate) fn update_cold(state: &mut EdgeState, now: ClockTime) -> Option<EdgeEffect> {
    if !has_cold_limits(state) && state.logged_cold.is_empty() {
        return None;
    }
    state.cold_checked_at = now;
    let shared = state.collection(StoreCollection::Shared);
    let names_senders = shared.is_some_and(|entry| entry.is_listed)
        && now.since(state.started_at) >= SENDERS_START_DELAY;
    let is_news = names_senders != std::mem::replace(&mut state.names_senders, names_senders);
    let endpoints = state.planner.endpoints();
    (state.cold).retain(|server| endpoints.contains_key(server), now);
    if state.cold.expire(now) || is_news {
        refresh_targets(state);
    }
    let cold = cold_hosts(state);
    state.planner.set_cold(cold);
    log_cold(state, now)
}

fn log_cold(state: &mut EdgeState, now: ClockTime) -> Option<EdgeEffect> {
    let mut cold = std::collections::BTreeMap::new();
    for (server, limit) in cold_servers(state.relay.notices(), now) {
        cold.insert(server.clone(), limit.incarnation);
        if state.logged_cold.get(server) == Some(&limit.incarnation) {
            continue;
        }
        let run = ServerRun {
            server: server.clone(),
            incarnation: limit.incarnation,
        };
        let target = state.targets.iter().find(|target| target.id == *server);
        let source = target.and_then(|target| state.cold.cold_until(&run, &target.domain));
        let source = source.map_or("owner", |(_, source)| source.as_str());
        let senders = target.and_then(|target| Some(target.cold.as_ref()?.senders.len()));
        let remaining_ms = limit.until.since(now).as_millis() as u64;
        log::info!(place:% = server, remaining_ms, source, senders:? = senders, own_requests = limit.per_window; "server is cold");
    }
    for (server, incarnation) in &state.logged_cold {
        if cold.get(server) != Some(incarnation) {
            log::info!(place:% = server; "server is warm");
        }
    }
    let servers = cold.len();
    let before = std::mem::replace(&mut state.logged_cold, cold).len();
    let skips = take_cold_skips(state.relay.notices_mut());
    (servers != before || skips > 0).then_some(EdgeEffect::ReportCold { servers, skips })
}
