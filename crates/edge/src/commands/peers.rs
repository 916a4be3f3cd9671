//! Messages between nodes.

use base::prelude::*;
use relay::SendTarget;
use replicas::commands::probe_group;

use super::collections::adopt_config;
use super::refresh_targets;
use super::shared::adopt_record;
use crate::peer::{Digest, PeerMessage};
use crate::queries::{
    can_own, choose_summing_hub, complete_targets_version, is_hub, is_peer_alive, lists_endpoints,
    receives_targets, select_hubs, sends_sums_to, uses_hubs,
};
use crate::state::SummingHub;
use crate::{EdgeEffect, EdgeState, WatchMode};

/// Shortest interval between two identical messages to a node.
const RESEND_INTERVAL: Duration = Duration::from_millis(500);

/// Time after becoming a hub in which a node must send a digest.
const HUB_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Time for which a hub that timed out can't be a hub.
const HUB_EXCLUSION: Duration = Duration::from_secs(5);

/// Sends digests if they are due, and targets if they have changed.
pub(crate) fn send_digests(state: &mut EdgeState, now: ClockTime) -> Vec<EdgeEffect> {
    if state.digest_due > now {
        return send_targets(state, now);
    }
    if now.since(state.digest_due) >= state.times.lag_threshold {
        state.last_lag_at = Some(now);
    }
    update_hubs(state, now);
    update_summing_hub(state, now);
    let unreported = count_unreported_nodes(state, now);
    state.relay.set_unreported_nodes(unreported);
    state.relay.set_counts_age(Some(counts_age(state)));
    let receivers = digest_receivers(state, now);
    let with_sums = receivers
        .iter()
        .filter(|(_, kind)| *kind == DigestKind::Sums);
    state.digest_due = now + digest_interval(state, with_sums.count());
    let digest = local_digest(state, now);
    let summed_digest = summed_digest(state, &digest, now);
    let mut effects = Vec::new();
    for (node, kind) in receivers {
        let Some(peer) = state.peers.get_mut(&node) else {
            continue;
        };
        peer.digest_sent_at = Some(now);
        let digest = match kind {
            DigestKind::Local => digest.clone(),
            DigestKind::Sums => summed_digest.clone(),
            DigestKind::Presence => Digest {
                counts: Vec::new(),
                ..digest.clone()
            },
        };
        effects.push(EdgeEffect::digest(peer.address, digest));
    }
    effects.extend(send_targets(state, now));
    effects.extend(update_watch_mode(state, now));
    effects
}

/// Counts that a digest carries.
#[derive(Clone, Copy, PartialEq, Eq)]
enum DigestKind {
    /// Those of this node.
    Local,
    /// The sums of all nodes.
    Sums,
    /// None: the digest only shows that this hub is alive.
    Presence,
}

/// Nodes that get a digest now.
fn digest_receivers(state: &EdgeState, now: ClockTime) -> Vec<(NodeName, DigestKind)> {
    let is_hub = is_hub(state);
    let receivers = state.peers.iter().filter_map(|(node, peer)| {
        let kind = if state.hubs.contains(node) {
            DigestKind::Local
        } else if sends_sums_to(state, node, peer.digest.as_ref()) {
            DigestKind::Sums
        } else {
            let is_due = peer
                .digest_sent_at
                .is_none_or(|at| now.since(at) >= state.times.max_digest_interval);
            (is_hub && is_due).then_some(DigestKind::Presence)?
        };
        Some((node.clone(), kind))
    });
    receivers.collect()
}

/// Digest with the counts of this node.
fn local_digest(state: &mut EdgeState, now: ClockTime) -> Digest {
    if state.is_caretaker {
        report_lost_groups(state, now);
    }
    let slow_groups = state.slow_groups.iter();
    Digest {
        from: state.settings.node.clone(),
        config_version: state.config.version().unwrap_or(0),
        record_version: state.planner.version().unwrap_or_default(),
        targets_version: state.targets_version,
        forwarded_version: (state.forwarded_targets.as_ref())
            .map_or(ObjectVersion::default(), |(_, version)| *version),
        is_owner: state.is_owner,
        can_own: can_own(state, now),
        summing_hub: state.summing_hub.as_ref().map(|hub| hub.node.clone()),
        has_sums: false,
        counts: relay::queries::local_counts(&state.relay, now),
        silent_heads: std::mem::take(&mut state.silent_heads)
            .into_iter()
            .collect(),
        slow_groups: if state.is_owner {
            slow_groups
                .map(|(head, pace)| (head.clone(), *pace))
                .collect()
        } else {
            Vec::new()
        },
    }
}

/// Reports the heads of groups that have lost a member, each time until the store is back and
/// the groups can be repaired.
fn report_lost_groups(state: &mut EdgeState, now: ClockTime) {
    for head in replicas::queries::lost_heads(&state.planner) {
        relay::commands::suspect_target(&mut state.relay, &head, now);
        state.silent_heads.insert(head);
    }
}

/// Digest with the sums of all nodes and the silent heads that they have reported.
fn summed_digest(state: &mut EdgeState, digest: &Digest, now: ClockTime) -> Digest {
    let mut silent_heads = std::mem::take(&mut state.reported_silent_heads);
    silent_heads.extend(digest.silent_heads.iter().cloned());
    Digest {
        has_sums: true,
        counts: relay::queries::total_counts(&state.relay, now),
        silent_heads: silent_heads.into_iter().collect(),
        ..digest.clone()
    }
}

/// Chooses another summing hub if the present one is gone or sends no sums.
fn update_summing_hub(state: &mut EdgeState, now: ClockTime) {
    if let Some(current) = &state.summing_hub
        && state.hubs.contains(&current.node)
    {
        if now.since(current.heard_at) < state.times.sums_timeout {
            return;
        }
        if let Some(peer) = state.peers.get_mut(&current.node) {
            peer.no_sums_until = now + state.times.summing_hub_exclusion;
        }
    }
    state.summing_hub = choose_summing_hub(state, now).map(|node| {
        log::info!(hub:% = node; "summing hub chosen");
        SummingHub {
            node,
            heard_at: now,
        }
    });
}

/// Largest age of other nodes' counts.
fn counts_age(state: &EdgeState) -> Duration {
    let peers = u32::try_from(state.peers.len()).unwrap_or(u32::MAX);
    if !uses_hubs(state) {
        return mesh_interval(state);
    }
    let spokes_per_hub = peers / u32::try_from(state.hubs.len().max(1)).unwrap_or(u32::MAX);
    let to_hub = spoke_interval(state);
    if is_hub(state) {
        to_hub
    } else {
        to_hub + hub_interval(state, spokes_per_hub)
    }
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
}

/// Number of other nodes that have not reported their requests to this node, which has
/// just started.
///
/// Later on, a node that sends no digests is gone, and so are its requests.
fn count_unreported_nodes(state: &EdgeState, now: ClockTime) -> usize {
    if now.since(state.started_at) >= state.times.startup_report_window {
        return 0;
    }
    if uses_hubs(state) && !is_hub(state) {
        return if state.sums_received_at.is_some() {
            0
        } else {
            state.peers.len()
        };
    }
    let alive = state
        .peers
        .values()
        .filter(|peer| is_peer_alive(state, peer, now));
    state.peers.len() - alive.count()
}

/// Interval until the next digest, which grows with the number of nodes.
fn digest_interval(state: &EdgeState, receivers_of_sums: usize) -> Duration {
    if !is_hub(state) {
        spoke_interval(state)
    } else if uses_hubs(state) {
        hub_interval(state, u32::try_from(receivers_of_sums).unwrap_or(u32::MAX))
    } else {
        mesh_interval(state)
    }
}

/// Interval between two digests of a node of a small deployment.
fn mesh_interval(state: &EdgeState) -> Duration {
    let peers = u32::try_from(state.peers.len()).unwrap_or(u32::MAX);
    let interval = state.times.digest_interval_per_peer;
    clamp_interval(state, interval.saturating_mul(peers))
}

/// Interval between two digests of a node that is no hub.
fn spoke_interval(state: &EdgeState) -> Duration {
    let peers = u32::try_from(state.peers.len()).unwrap_or(u32::MAX);
    let interval = state.times.spoke_digest_interval_per_peer;
    clamp_interval(state, interval.saturating_mul(peers))
}

/// Interval between two digests of a hub that sends the sums to this many nodes.
fn hub_interval(state: &EdgeState, receivers: u32) -> Duration {
    let times = &state.times;
    let targets = u32::try_from(state.targets.len()).unwrap_or(u32::MAX);
    let by_target_count = times.hub_digest_interval_per_target.saturating_mul(targets);
    let interval = times.hub_digest_interval_per_peer.max(by_target_count);
    clamp_interval(state, interval.saturating_mul(receivers))
}

fn clamp_interval(state: &EdgeState, interval: Duration) -> Duration {
    let times = &state.times;
    interval.clamp(times.min_digest_interval, times.max_digest_interval)
}

/// Sends changed targets of the owner to the hubs, which pass them on, and to the nodes that
/// this node sends the sums to.
fn send_targets(state: &mut EdgeState, now: ClockTime) -> Vec<EdgeEffect> {
    if !std::mem::take(&mut state.has_unsent_targets) || !state.is_owner || !uses_hubs(state) {
        return Vec::new();
    }
    let (targets, version) = (state.targets.clone(), state.targets_version);
    pass_on_targets(state, targets, version, now)
}

/// Sends targets to the nodes that this hub sends the sums to; as the owner also to the hubs.
fn pass_on_targets(
    state: &mut EdgeState,
    targets: Arc<[SendTarget]>,
    version: ObjectVersion,
    now: ClockTime,
) -> Vec<EdgeEffect> {
    let receivers = state.peers.iter().filter(|(node, peer)| {
        (state.is_owner && state.hubs.contains(*node))
            || sends_sums_to(state, node, peer.digest.as_ref())
    });
    let receivers: Vec<_> = receivers.map(|(node, _)| node.clone()).collect();
    let peers = receivers.iter().filter_map(|node| {
        let peer = state.peers.get_mut(node)?;
        peer.targets_sent_at = Some(now);
        Some(EdgeEffect::targets(peer.address, targets.clone(), version))
    });
    peers.collect()
}

/// Targets that this node sends to those that have older ones, and their version.
///
/// A hub without targets of an owner sends its own to nodes that have none, so that these can
/// serve before there is an owner.
fn distributed_targets(
    state: &EdgeState,
    digest: &Digest,
) -> Option<(Arc<[SendTarget]>, ObjectVersion)> {
    if state.is_owner {
        return Some((state.targets.clone(), state.targets_version));
    }
    let has_none = digest.targets_version == ObjectVersion::default();
    let local = || (state.targets.clone(), complete_targets_version(state));
    let forwarded = state.forwarded_targets.clone();
    forwarded.or_else(|| (has_none && !state.targets.is_empty()).then(local))
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
        lists_endpoints: lists_endpoints(state, now),
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
        PeerMessage::Targets(targets, version) => handle_targets(state, targets, version, now),
        PeerMessage::Record(record, version) => {
            if adopt_record(state, record, version, now) {
                refresh_targets(state);
                state.needs_plan = true;
            }
            Vec::new()
        }
    }
}

/// Uses targets that are newer than the present ones, or passes them on as a hub, which
/// computes its own.
fn handle_targets(
    state: &mut EdgeState,
    targets: Arc<[SendTarget]>,
    version: ObjectVersion,
    now: ClockTime,
) -> Vec<EdgeEffect> {
    let is_hub = is_hub(state);
    let slot = if is_hub {
        &mut state.forwarded_targets
    } else {
        &mut state.received_targets
    };
    if slot
        .as_ref()
        .is_some_and(|(_, current)| *current >= version)
    {
        return Vec::new();
    }
    *slot = Some((targets.clone(), version));
    if is_hub {
        return pass_on_targets(state, targets, version, now);
    }
    refresh_targets(state);
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
        if let Some(hub) = state.summing_hub.as_mut().filter(|hub| hub.node == *from) {
            hub.heard_at = now;
        }
        relay::commands::update_total_counts(&mut state.relay, from, counts, now);
    }
}

fn handle_digest(state: &mut EdgeState, digest: Digest, now: ClockTime) -> Vec<EdgeEffect> {
    record_counts(state, &digest, now);
    if digest.is_owner && digest.can_own {
        state.owner_seen_at = Some(now);
    }
    if is_hub(state) && uses_hubs(state) {
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
    for head in &digest.silent_heads {
        relay::commands::suspect_target(&mut state.relay, head, now);
        if state.is_owner || state.is_caretaker {
            probe_group(&mut state.planner, head, now);
            state.needs_plan = true;
        }
    }
    let propagated_version = propagated_config_version(state, now);
    let record_version = state.planner.version().unwrap_or_default();
    let distributed_targets = distributed_targets(state, &digest);
    let is_hub = state.hubs.contains(&digest.from);
    let (uses_hubs, is_owner) = (uses_hubs(state), state.is_owner);
    let sends_sums = sends_sums_to(state, &digest.from, Some(&digest));
    // A node that has chosen another hub gets configurations from that one.
    let sends_configs = is_hub || sends_sums || digest.summing_hub.is_none();
    let Some(peer) = state.peers.get_mut(&digest.from) else {
        // Its address is not known until its entry is read from the store.
        return Vec::new();
    };
    let mut effects = Vec::new();
    let may_send = |sent: Option<ClockTime>| sent.is_none_or(|at| now.since(at) >= RESEND_INTERVAL);
    if sends_configs
        && digest.config_version < propagated_version
        && may_send(peer.config_sent_at)
        && let (Some(config), Some(text)) = (state.config.get(), &state.config_text)
    {
        peer.config_sent_at = Some(now);
        effects.push(EdgeEffect::Send {
            to: peer.address,
            message: PeerMessage::RoutingConfig(config.clone(), text.clone()),
        });
    }
    if is_hub && digest.record_version < record_version && may_send(peer.record_sent_at) {
        peer.record_sent_at = Some(now);
        let record = state.planner.record().clone();
        effects.push(EdgeEffect::record(peer.address, record, record_version));
    }
    let has_older_targets = |version: ObjectVersion| match is_hub {
        true => uses_hubs && is_owner && digest.forwarded_version < version,
        false => sends_sums && digest.targets_version < version,
    };
    if let Some((targets, version)) = distributed_targets
        && has_older_targets(version)
        && may_send(peer.targets_sent_at)
    {
        peer.targets_sent_at = Some(now);
        effects.push(EdgeEffect::targets(peer.address, targets, version));
    }
    peer.last_digest_at = Some(now);
    peer.digest = Some(digest);
    if state.summing_hub.is_none() && choose_summing_hub(state, now).is_some() {
        // The hub sends the targets once it knows that it was chosen.
        state.digest_due = now;
    }
    effects
}
