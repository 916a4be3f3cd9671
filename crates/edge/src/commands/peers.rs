//! Messages between nodes.

use base::prelude::*;
use replicas::commands::probe_group;

use super::collections::adopt_config;
use super::refresh_targets;
use super::shared::adopt_record;
use crate::peer::{Digest, PeerMessage};
use crate::queries::{can_own, is_hub, is_peer_alive, receives_targets, select_hubs, uses_hubs};
use crate::state::PeerState;
use crate::{EdgeEffect, EdgeState, WatchMode};

/// Shortest interval between two identical messages to a node.
const RESEND_INTERVAL: Duration = Duration::from_millis(500);

/// Time after becoming a hub in which a node must send a digest.
const HUB_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Time for which a hub that timed out can't be a hub.
const HUB_EXCLUSION: Duration = Duration::from_secs(5);
/// Number of targets compared for each request in a large deployment, where request
/// counts are old.
const SAMPLE_SIZE: usize = 4;

/// Sends digests if they are due, and targets if they have changed.
pub(crate) fn send_digests(state: &mut EdgeState, now: ClockTime) -> Vec<EdgeEffect> {
    if state.digest_due > now {
        return send_targets(state, now);
    }
    if now.since(state.digest_due) >= state.times.lag_threshold {
        state.last_lag_at = Some(now);
    }
    update_hubs(state, now);
    let unreported = count_unreported_nodes(state, now);
    state.relay.set_unreported_nodes(unreported);
    state.digest_due = now + digest_interval(state);
    let digest = Digest {
        from: state.settings.node.clone(),
        config_version: state.config.version().unwrap_or(0),
        record_version: state.planner.version().unwrap_or_default(),
        targets_version: state.targets_version,
        is_owner: state.is_owner,
        can_own: can_own(state, now),
        counts: relay::queries::local_counts(&state.relay, now),
        silent_heads: std::mem::take(&mut state.silent_heads)
            .into_iter()
            .collect(),
        slow_groups: if state.is_owner {
            let slow_groups = state.slow_groups.iter();
            slow_groups
                .map(|(head, pace)| (head.clone(), *pace))
                .collect()
        } else {
            Vec::new()
        },
    };
    let mut summed_digest = digest.clone();
    summed_digest.counts = if state.is_owner {
        relay::queries::total_counts(&state.relay, now)
    } else {
        Vec::new()
    };
    let sends_to_all = is_hub(state);
    let mut effects = Vec::new();
    for (node, peer) in &state.peers {
        let is_hub = state.hubs.contains(node);
        if is_hub {
            effects.push(EdgeEffect::digest(peer.address, digest.clone()));
        } else if sends_to_all {
            effects.push(EdgeEffect::digest(peer.address, summed_digest.clone()));
        }
    }
    effects.extend(send_targets(state, now));
    effects.extend(update_watch_mode(state, now));
    effects
}

/// Selects the hubs again, without those that timed out.
fn update_hubs(state: &mut EdgeState, now: ClockTime) {
    let timeout = state.times.peer_timeout;
    for peer in state.peers.values_mut() {
        let is_alive = peer
            .last_digest_at
            .is_some_and(|at| now.since(at) < timeout);
        let is_late = peer
            .hub_since
            .is_some_and(|at| now.since(at) >= HUB_TIMEOUT);
        if is_late && !is_alive {
            peer.excluded_until = now + HUB_EXCLUSION;
        }
    }
    let hubs = select_hubs(state, now);
    for (node, peer) in &mut state.peers {
        if hubs.contains(node) {
            peer.hub_since.get_or_insert(now);
        } else {
            peer.hub_since = None;
        }
    }
    if hubs != state.hubs {
        log::debug!(count = hubs.len(); "hubs changed");
        state.hubs = hubs;
    }
    let sample_size = uses_hubs(state).then_some(SAMPLE_SIZE);
    state.relay.set_sample_size(sample_size);
}

/// Number of other nodes that have not reported their requests to this node, which has
/// just started.
///
/// Later on, a node that sends no digests is gone, and so are its requests.
fn count_unreported_nodes(state: &EdgeState, now: ClockTime) -> usize {
    if now.since(state.started_at) >= state.times.startup_report_window {
        return 0;
    }
    let is_digest_of_owner =
        |peer: &&PeerState| peer.digest.as_ref().is_some_and(|digest| digest.is_owner);
    let mut alive = state
        .peers
        .values()
        .filter(|peer| is_peer_alive(state, peer, now));
    if uses_hubs(state) && !is_hub(state) {
        let is_reported = alive.any(|peer| is_digest_of_owner(&peer));
        return if is_reported { 0 } else { state.peers.len() };
    }
    state.peers.len() - alive.count()
}

/// Interval until the next digest, which grows with the number of nodes.
fn digest_interval(state: &EdgeState) -> Duration {
    let peers = u32::try_from(state.peers.len()).unwrap_or(u32::MAX);
    let times = &state.times;
    let interval = if !is_hub(state) {
        times.spoke_digest_interval_per_peer
    } else if uses_hubs(state) && state.is_owner {
        let targets = u32::try_from(state.targets.len()).unwrap_or(u32::MAX);
        let by_target_count = times
            .owner_digest_interval_per_target
            .saturating_mul(targets);
        times.owner_digest_interval_per_peer.max(by_target_count)
    } else {
        times.digest_interval_per_peer
    };
    interval
        .saturating_mul(peers)
        .clamp(times.min_digest_interval, times.max_digest_interval)
}

/// Sends changed targets to the nodes that don't watch the endpoints.
fn send_targets(state: &mut EdgeState, now: ClockTime) -> Vec<EdgeEffect> {
    if !std::mem::take(&mut state.has_unsent_targets) || !state.is_owner || !uses_hubs(state) {
        return Vec::new();
    }
    let version = state.targets_version;
    let (targets, hubs) = (&state.targets, &state.hubs);
    let others = state
        .peers
        .iter_mut()
        .filter(|(node, _)| !hubs.contains(*node));
    others
        .map(|(_, peer)| {
            peer.targets_sent_at = Some(now);
            EdgeEffect::Send {
                to: peer.address,
                message: PeerMessage::Targets(targets.clone(), version),
            }
        })
        .collect()
}

/// Number of live peers from which this node relies on them to send it changes.
const MIN_RELIABLE_PEERS: usize = 2;

/// Changes the watch mode if needed.
fn update_watch_mode(state: &mut EdgeState, now: ClockTime) -> Option<EdgeEffect> {
    let alive = state
        .peers
        .values()
        .filter(|peer| is_peer_alive(state, peer, now));
    let mode = WatchMode {
        is_owner: state.is_owner,
        has_peers: alive.count() >= MIN_RELIABLE_PEERS,
        receives_targets: receives_targets(state, now),
    };
    if mode == state.watch_mode {
        return None;
    }
    state.watch_mode = mode;
    Some(EdgeEffect::SetWatchMode(mode))
}

/// Sends the record of groups to every hub at once.
pub(crate) fn send_record(state: &mut EdgeState, now: ClockTime) -> Vec<EdgeEffect> {
    let Some(version) = state.planner.version() else {
        return Vec::new();
    };
    let record = state.planner.record().clone();
    let hubs = &state.hubs;
    let peers = state
        .peers
        .iter_mut()
        .filter(|(node, _)| hubs.contains(*node));
    peers
        .map(|(_, peer)| {
            peer.record_sent_at = Some(now);
            EdgeEffect::record(peer.address, record.clone(), version)
        })
        .collect()
}

/// Version of the newest configuration that other nodes should have by now; zero for
/// none.
///
/// In a small deployment nodes send one another a new configuration at once. In a large
/// one, sending it to every node would saturate this node's link just while they read it
/// from the store themselves, so they get time for that.
fn propagated_config_version(state: &EdgeState, now: ClockTime) -> u64 {
    let propagation_delay = if uses_hubs(state) {
        state.times.config_propagation_delay
    } else {
        Duration::ZERO
    };
    let newest_first = state.config_history.iter().rev();
    let mut propagated = newest_first.filter(|(_, since)| now.since(*since) >= propagation_delay);
    propagated.next().map_or(0, |(version, _)| *version)
}

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
        PeerMessage::Targets(targets, version) => {
            let current = state.received_targets.as_ref().map(|(_, version)| *version);
            if current.is_none_or(|current| current < version) {
                state.received_targets = Some((targets, version));
                refresh_targets(state);
            }
            Vec::new()
        }
        PeerMessage::Record(record, version) => {
            if adopt_record(state, record, version, now) {
                refresh_targets(state);
                state.needs_plan = true;
            }
            Vec::new()
        }
    }
}

fn handle_digest(state: &mut EdgeState, digest: Digest, now: ClockTime) -> Vec<EdgeEffect> {
    if is_hub(state) {
        relay::commands::update_remote_counts(&mut state.relay, &digest.from, &digest.counts, now);
    } else {
        relay::commands::update_total_counts(&mut state.relay, &digest.from, &digest.counts, now);
    }
    if state.is_owner && uses_hubs(state) {
        // Nodes that are no hubs learn of silent heads from the owner's digest.
        state
            .silent_heads
            .extend(digest.silent_heads.iter().cloned());
    }
    if digest.is_owner && !state.is_owner {
        let slow_groups = digest.slow_groups.iter().cloned().collect();
        if state.slow_groups != slow_groups {
            state.slow_groups = slow_groups;
            refresh_targets(state);
        }
    }
    for head in &digest.silent_heads {
        relay::commands::suspect_target(&mut state.relay, head, now);
        if state.is_owner {
            probe_group(&mut state.planner, head, now);
            state.needs_plan = true;
        }
    }
    let propagated_version = propagated_config_version(state, now);
    let record_version = state.planner.version().unwrap_or_default();
    let Some(peer) = state.peers.get_mut(&digest.from) else {
        // Its address is not known until its entry is read from the store.
        return Vec::new();
    };
    let mut effects = Vec::new();
    let may_send = |sent: Option<ClockTime>| sent.is_none_or(|at| now.since(at) >= RESEND_INTERVAL);
    if digest.config_version < propagated_version
        && may_send(peer.config_sent_at)
        && let (Some(config), Some(text)) = (state.config.get(), &state.config_text)
    {
        peer.config_sent_at = Some(now);
        effects.push(EdgeEffect::Send {
            to: peer.address,
            message: PeerMessage::RoutingConfig(config.clone(), text.clone()),
        });
    }
    let is_hub = state.hubs.contains(&digest.from);
    if is_hub && digest.record_version < record_version && may_send(peer.record_sent_at) {
        peer.record_sent_at = Some(now);
        let record = state.planner.record().clone();
        effects.push(EdgeEffect::record(peer.address, record, record_version));
    }
    let is_behind = digest.targets_version < state.targets_version;
    if !is_hub && state.is_owner && is_behind && may_send(peer.targets_sent_at) {
        peer.targets_sent_at = Some(now);
        effects.push(EdgeEffect::Send {
            to: peer.address,
            message: PeerMessage::Targets(state.targets.clone(), state.targets_version),
        });
    }
    peer.last_digest_at = Some(now);
    peer.digest = Some(digest);
    effects
}
