//! Digests to other nodes, and the hubs that they go through.

use base::prelude::*;
use notices::ReportScope;
use notices::commands::take_reports;

use super::distribution::send_targets;
use super::notices::update_share;
use super::quarantine::quarantine_hash;
use crate::byte_budget::ByteRate;
use crate::peer::Digest;
use crate::queries::{
    ConfigAge, awaits_list, can_own, choose_summing_hub, config_age, has_able_hub, heard_contact,
    is_hub, is_peer_alive, lists_endpoints, local_demand, local_weight, receives_targets,
    select_hubs, sends_sums_to, sent_evacuations, store_contact, total_demand, total_weight,
    uses_hubs, watches_evacuations,
};
use crate::state::{PeerState, SummingHub};
use crate::{EdgeEffect, EdgeState, EdgeTimes, WatchMode};

/// Time after becoming a hub in which a node must send a digest.
const HUB_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Time for which a hub that timed out can't be a hub.
const HUB_EXCLUSION: Duration = Duration::from_secs(5);

/// Least and largest number of a kind of report in a digest, whatever the link carries.
const MIN_REPORTS: usize = 8;
const MAX_REPORTS: usize = 160;

/// Lag of the event loop from which it is logged.
const LOGGED_LAG: Duration = Duration::from_millis(200);

/// Doublings of the interval between two replacements of the connection to a node that stays
/// silent.
const MAX_RECONNECT_DOUBLINGS: u32 = 2;

/// Sends digests if they are due, and targets if they have changed.
pub(crate) fn send_digests(state: &mut EdgeState, now: ClockTime) -> Vec<EdgeEffect> {
    if state.digest_due > now {
        return send_targets(state, now);
    }
    let lag = now.since(state.digest_due);
    if lag >= state.times.lag_threshold {
        state.last_lag_at = Some(now);
    }
    if lag >= LOGGED_LAG {
        log::info!(late_ms = lag.as_millis() as u64; "event loop was late");
    }
    log_config_age(state, now);
    update_hubs(state, now);
    update_summing_hub(state, now);
    let unreported = count_unreported_nodes(state, now);
    state.relay.set_unreported_nodes(unreported);
    state.relay.set_counts_age(Some(counts_age(state)));
    let receivers = digest_receivers(state, now);
    let count_of = |wanted| receivers.iter().filter(|(_, kind)| *kind == wanted).count();
    let (with_sums, local) = (count_of(DigestKind::Sums), count_of(DigestKind::Local));
    state.departures.expire(now);
    let limit = report_limit(state, receivers.len());
    let digest = local_digest(state, limit, now);
    let summed_digest = summed_digest(state, &digest, limit, now);
    let byte_count = with_sums * summed_digest.estimated_size() + local * digest.estimated_size();
    state.digest_due = now + digest_interval(state, with_sums, byte_count);
    let mut effects = update_share(state, now);
    for (node, kind) in receivers {
        let Some(peer) = state.peers.get_mut(&node) else {
            continue;
        };
        peer.digest_sent_at = Some(now);
        peer.link_opened_at.get_or_insert(now);
        if is_link_silent(peer, &state.times, state.last_lag_at, now) {
            // The node may be gone, or may not take this one for a hub.
            let doublings = peer.reconnects.min(MAX_RECONNECT_DOUBLINGS);
            peer.reconnect_due = now + state.times.link_timeout * 2_u32.pow(doublings);
            peer.reconnects += 1;
            peer.link_opened_at = Some(now);
            effects.push(EdgeEffect::Reconnect(peer.address));
        }
        let digest = match kind {
            DigestKind::Local => digest.clone(),
            DigestKind::Sums => summed_digest.clone(),
            DigestKind::Presence => Digest {
                counts: Vec::new(),
                limits: Vec::new(),
                leaving: Vec::new(),
                demand: Vec::new(),
                ..digest.clone()
            },
        };
        effects.push(EdgeEffect::digest(peer.address, digest));
    }
    effects.extend(send_targets(state, now));
    effects.extend(update_watch_mode(state, now));
    effects.extend(report_config(state));
    effects
}

/// Whether the connection to a node may hang: the node was heard before and no longer is,
/// although this node has read its messages in time.
fn is_link_silent(
    peer: &PeerState,
    times: &EdgeTimes,
    last_lag_at: Option<ClockTime>,
    now: ClockTime,
) -> bool {
    let is_over = |at: ClockTime| now.since(at) >= times.link_timeout;
    peer.last_digest_at.is_some_and(is_over)
        && last_lag_at.is_none_or(is_over)
        && peer.reconnect_due <= now
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

/// Largest number of reports of each kind in a digest to this many receivers.
fn report_limit(state: &EdgeState, receivers: usize) -> usize {
    let rate = ByteRate::of_digests(state.settings.link_rate);
    let byte_count = rate.bytes_in(state.times.max_digest_interval) / receivers.max(1);
    let limit = Digest::report_limit(byte_count, state.targets.len());
    limit.clamp(MIN_REPORTS, MAX_REPORTS)
}

/// Digest with the counts of this node.
fn local_digest(state: &mut EdgeState, limit: usize, now: ClockTime) -> Digest {
    if state.is_prober {
        report_lost_groups(state, now);
    }
    let reports = take_reports(state.relay.notices_mut(), ReportScope::Own, limit);
    let scope = if is_hub(state) {
        ReportScope::All
    } else {
        ReportScope::Own
    };
    let slow_groups = state.slow_groups.iter();
    let received_version = (state.received_targets.as_ref()).map(|(_, version)| *version);
    Digest {
        from: state.settings.node.clone(),
        config_version: state.config.version().unwrap_or(0),
        known_config: known_config(state),
        store_contact: store_contact(state),
        heard_contact: if is_hub(state) {
            heard_contact(state)
        } else {
            None
        },
        record_version: state.planner.version().unwrap_or_default(),
        targets_version: state.targets_version.latest,
        forwarded_version: received_version
            .map(|version| version.latest)
            .unwrap_or_default(),
        received_version,
        is_owner: state.is_owner,
        can_own: can_own(state, now),
        is_cut_off: reach::queries::is_cut_off(&state.reach),
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
        quarantine_hash: quarantine_hash(state),
        weight: local_weight(state, now),
        limits: reports.limits,
        leaving: reports.leaving,
        departures: state.departures.reported(scope, limit, now),
        evacuations: sent_evacuations(state),
        demand: local_demand(state, now),
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
fn summed_digest(state: &mut EdgeState, digest: &Digest, limit: usize, now: ClockTime) -> Digest {
    let mut silent_heads = std::mem::take(&mut state.reported_silent_heads);
    silent_heads.extend(digest.silent_heads.iter().cloned());
    let reports = take_reports(state.relay.notices_mut(), ReportScope::All, limit);
    Digest {
        has_sums: true,
        counts: relay::queries::total_counts(&state.relay, now),
        silent_heads: silent_heads.into_iter().collect(),
        weight: total_weight(state, now).unwrap_or(digest.weight),
        limits: reports.limits,
        leaving: reports.leaving,
        demand: total_demand(state, now),
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

/// Interval until the next digest, which grows with the number of nodes and with the bytes that
/// were sent.
fn digest_interval(state: &EdgeState, receivers_of_sums: usize, byte_count: usize) -> Duration {
    let by_nodes = if !is_hub(state) {
        spoke_interval(state)
    } else if uses_hubs(state) {
        hub_interval(state, u32::try_from(receivers_of_sums).unwrap_or(u32::MAX))
    } else {
        mesh_interval(state)
    };
    let rate = ByteRate::of_digests(state.settings.link_rate);
    clamp_interval(state, by_nodes.max(rate.time_for(byte_count)))
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

/// Number of live peers from which this node relies on them to send it changes.
const MIN_RELIABLE_PEERS: usize = 2;

/// Newest version of the configuration that this node knows to exist; zero for none.
fn known_config(state: &EdgeState) -> u64 {
    let known = state.config_notices.newest();
    known.max(state.config.version()).unwrap_or(0)
}

/// Logs when requests begin or cease to be rejected because the configuration is too old.
fn log_config_age(state: &mut EdgeState, now: ClockTime) {
    let is_outdated = config_age(state, now) == ConfigAge::Outdated;
    if std::mem::replace(&mut state.is_config_outdated, is_outdated) == is_outdated {
        return;
    }
    let version = state.config.version();
    match (is_outdated, state.config_notices.behind_since()) {
        (true, Some(since)) => {
            let behind_ms = now.since(since).as_millis() as u64;
            let newest = state.config_notices.newest();
            log::warn!(version:? = version, newest:? = newest, behind_ms; "configuration is outdated; requests are rejected");
        }
        _ => log::info!(version:? = version; "requests are accepted again"),
    }
}

/// Reports the version of the configuration if it has changed.
fn report_config(state: &mut EdgeState) -> Option<EdgeEffect> {
    let version = state.config.version();
    if state.reported_config == version {
        return None;
    }
    state.reported_config = version;
    version.map(EdgeEffect::ReportConfig)
}

/// Changes the watch mode if needed.
pub(super) fn update_watch_mode(state: &mut EdgeState, now: ClockTime) -> Option<EdgeEffect> {
    state.hubs_lost_at = match has_able_hub(state, now) {
        Some(false) => Some(state.hubs_lost_at.unwrap_or(now)),
        _ => None,
    };
    let alive = state
        .peers
        .values()
        .filter(|peer| is_peer_alive(state, peer, now));
    let mode = WatchMode {
        is_owner: state.is_owner,
        awaits_list: state.is_owner && awaits_list(state),
        has_peers: alive.count() >= MIN_RELIABLE_PEERS,
        receives_targets: receives_targets(state, now),
        lists_endpoints: lists_endpoints(state, now),
        lacks_hubs: state.hubs_lost_at.is_some(),
        lacks_config: config_age(state, now) >= ConfigAge::Missing,
        watches_evacuations: watches_evacuations(state, now),
    };
    if mode == state.watch_mode {
        return None;
    }
    state.watch_mode = mode;
    let set = mode.flags().into_iter().filter(|(_, is_set)| *is_set);
    let set: Vec<_> = set.map(|(flag, _)| flag).collect();
    log::info!(flags = set.join(","); "watch mode changed");
    Some(EdgeEffect::SetWatchMode(mode))
}
