//! Messages of other nodes.

use base::prelude::*;
use relay::SendTarget;
use replicas::commands::probe_group;

use super::collections::adopt_config;
use super::departures::merge_departures;
use super::distribution::{pass_on_targets, supply_targets};
use super::evacuations::merge_evacuations;
use super::notices::merge_reports;
use super::quarantine::{merge_evidence, send_watched_evidence};
use super::refresh_targets;
use super::shared::adopt_record;
use super::supply::{supply_config, supply_record};
use crate::peer::{Digest, PeerMessage, TargetsVersion};
use crate::queries::{NewerPart, choose_summing_hub, is_hub, merge_targets, newer_part, uses_hubs};
use crate::{EdgeEffect, EdgeState};

/// Handles a message of another node.
pub(crate) fn handle_message(
    state: &mut EdgeState,
    message: PeerMessage,
    now: ClockTime,
) -> Vec<EdgeEffect> {
    match message {
        PeerMessage::Digest(digest) => handle_digest(state, *digest, now),
        PeerMessage::RoutingConfig(config, text) => {
            if adopt_config(state, config, text, "node", now) {
                refresh_targets(state);
            }
            Vec::new()
        }
        PeerMessage::Targets(targets, version) => handle_targets(state, (targets, version), now),
        PeerMessage::Crashes(evidence) => merge_evidence(state, &evidence, now),
        PeerMessage::Record(record, version) => {
            if adopt_record(state, record, version, now) {
                refresh_targets(state);
                state.needs_plan = true;
            }
            Vec::new()
        }
    }
}

/// Replaces this node's connection to a node that has opened a new one.
///
/// Each connection is used in one direction, so its sender doesn't notice when it goes silent. The
/// other node does, but all that it can do is to open a connection of its own, which this node
/// takes as the sign.
pub(crate) fn handle_connection(
    state: &mut EdgeState,
    node: &NodeName,
    now: ClockTime,
) -> Vec<EdgeEffect> {
    let Some(peer) = state.peers.get_mut(node) else {
        return Vec::new();
    };
    // A new connection of this node may be what made the other one open its own.
    let is_old = |at: ClockTime| now.since(at) >= state.times.link_settling_time;
    if !peer.link_opened_at.is_some_and(is_old) {
        return Vec::new();
    }
    peer.link_opened_at = Some(now);
    vec![EdgeEffect::Reconnect(peer.address)]
}

/// Uses targets as far as they are newer than the present ones, whatever this node's role, and
/// passes them on as a hub.
fn handle_targets(
    state: &mut EdgeState,
    received: (Arc<[SendTarget]>, TargetsVersion),
    now: ClockTime,
) -> Vec<EdgeEffect> {
    let endpoints = received.1.endpoints;
    let (newest, part) = match &state.received_targets {
        Some(known) => {
            let part = newer_part(known.1, received.1);
            (merge_targets(known, received), part)
        }
        None => (Some(received), Some(NewerPart::All)),
    };
    let Some((targets, version)) = newest else {
        return Vec::new();
    };
    // Other nodes would take the heads for as new as the endpoints that they are merged with.
    let has_departed = |target: &SendTarget| {
        part == Some(NewerPart::Groups)
            && target.model.is_some()
            && (state.departures).has_departed(&target.id, target.incarnation, endpoints)
    };
    let targets = match targets.iter().any(has_departed) {
        true => targets
            .iter()
            .filter(|target| !has_departed(target))
            .cloned()
            .collect(),
        false => targets,
    };
    state.received_targets = Some((targets, version));
    if part != Some(NewerPart::Plain) {
        state.received_groups_read = endpoints;
    }
    refresh_targets(state);
    if is_hub(state) {
        return pass_on_targets(state, now);
    }
    Vec::new()
}

/// Updates the counts of other nodes from a digest.
fn record_counts(state: &mut EdgeState, digest: &Digest, now: ClockTime) {
    let Digest { from, counts, .. } = digest;
    if is_hub(state) {
        if !digest.has_sums {
            relay::commands::update_remote_counts(&mut state.relay, from, counts, now);
        }
        return;
    }
    // Owners of an older build send sums without saying so.
    if digest.has_sums || (digest.is_owner && !counts.is_empty()) {
        state.sums_received_at = Some(now);
        if digest.has_sums {
            state.received_weight = Some(digest.weight);
        }
        if let Some(hub) = state.summing_hub.as_mut().filter(|hub| hub.node == *from) {
            hub.heard_at = now;
        }
        relay::commands::update_total_counts(&mut state.relay, from, counts, now);
    }
}

fn handle_digest(state: &mut EdgeState, digest: Digest, now: ClockTime) -> Vec<EdgeEffect> {
    record_counts(state, &digest, now);
    let in_force = state.config.version().unwrap_or(0);
    let notices = &mut state.config_notices;
    notices.record(digest.known_config, in_force, now);
    if digest.is_owner && digest.can_own {
        state.owner_seen_at = Some(now);
    }
    if is_hub(state) && uses_hubs(state) && !digest.is_cut_off {
        // Other nodes learn of silent heads from the digest of their summing hub.
        state
            .reported_silent_heads
            .extend(digest.silent_heads.iter().cloned());
    }
    if digest.is_owner && !state.is_owner {
        let slow_groups = digest.slow_groups.iter().cloned().collect();
        if state.slow_groups != slow_groups {
            state.slow_groups = slow_groups;
            refresh_targets(state);
        }
    }
    // A node that reaches no server finds all of them silent.
    let silent_heads = digest.silent_heads.iter();
    for head in silent_heads.filter(|_| !digest.is_cut_off) {
        relay::commands::suspect_target(&mut state.relay, head, now);
        if state.is_owner || state.is_prober {
            probe_group(&mut state.planner, head, now);
            state.needs_plan = true;
        }
    }
    merge_departures(state, &digest);
    let mut effects = merge_evacuations(state, &digest, now);
    effects.extend(merge_reports(state, &digest, now));
    effects.extend(send_missing(state, &digest, now));
    effects.extend(send_watched_evidence(state, &digest, now));
    let from = digest.from.clone();
    if let Some(peer) = state.peers.get_mut(&from) {
        peer.last_digest_at = Some(now);
        peer.reconnects = 0;
        peer.digest = Some(digest);
    }
    effects.extend(supply_targets(state, &from, now));
    if state.summing_hub.is_none() && choose_summing_hub(state, now).is_some() {
        // The hub sends the targets once it knows that it was chosen.
        state.digest_due = now;
    }
    effects
}

/// Sends the configuration or record that a digest shows to be missing at its sender.
fn send_missing(state: &mut EdgeState, digest: &Digest, now: ClockTime) -> Vec<EdgeEffect> {
    let mut effects: Vec<_> = supply_config(state, digest, now).into_iter().collect();
    effects.extend(supply_record(state, digest, now));
    effects
}
