//! Distribution of targets, records and configurations to other nodes.

use std::net::SocketAddr;

use base::prelude::*;
use relay::SendTarget;

use crate::peer::TargetsVersion;
use crate::queries::{
    complete_targets_version, is_peer_alive, lacks_targets, sends_sums_to, uses_hubs,
};
use crate::state::{PeerState, SentTargets};
use crate::{EdgeEffect, EdgeState};

/// Percentage of the link's rate for targets; the outbox has a larger budget.
const LINK_PERCENT: u64 = 19;
/// Time whose unused bytes are kept.
const BURST_DURATION: Duration = Duration::from_millis(20);
/// Bytes of a target besides its names.
const TARGET_OVERHEAD_BYTES: usize = 45;
/// Shortest interval between two messages with the same targets to a node that doesn't show them.
const RESEND_INTERVAL: Duration = Duration::from_millis(500);
/// Doublings of that interval.
const MAX_RESEND_DOUBLINGS: u32 = 3;

/// Targets that this node sends to others.
struct TargetsMessage {
    targets: Arc<[SendTarget]>,
    version: TargetsVersion,
    /// Whether they are only for nodes that have none.
    is_initial: bool,
}

/// Node that lacks targets.
struct TargetsReceiver {
    is_lost: bool,
    is_hub: bool,
    sent_at: Option<ClockTime>,
    node: NodeName,
    address: SocketAddr,
}

/// Sends changed targets of the owner to the hubs, which pass them on, and to the nodes that
/// this node sends the sums to; also those that waited for the budget.
pub(super) fn send_targets(state: &mut EdgeState, now: ClockTime) -> Vec<EdgeEffect> {
    if std::mem::take(&mut state.has_unsent_targets) && state.is_owner && uses_hubs(state) {
        return pass_on_targets(state, now);
    }
    match state.targets_due {
        Some(due) if due <= now => pass_on_targets(state, now),
        _ => Vec::new(),
    }
}

/// Sends the targets to a node whose digest shows older ones, as the budget allows.
pub(super) fn supply_targets(
    state: &mut EdgeState,
    node: &NodeName,
    now: ClockTime,
) -> Vec<EdgeEffect> {
    let Some(message) = distributed_targets(state) else {
        return Vec::new();
    };
    if let Some(peer) = state.peers.get_mut(node)
        && !lacks_targets(
            shown_version(peer, state.hubs.contains(node)),
            message.version,
        )
        && let Some(sent) = &mut peer.sent_targets
    {
        sent.repeats = 0;
    }
    let peer = state.peers.get_key_value(node);
    let is_next = peer.is_some_and(|(node, peer)| {
        is_lacking(state, node, peer, &message, now)
            && state.targets_due.is_none_or(|due| due <= now)
    });
    if is_next {
        pass_on_targets(state, now)
    } else {
        Vec::new()
    }
}

/// Sends targets to the nodes that this hub sends the sums to; as the owner also to the hubs.
///
/// Each message is charged to a budget of bytes a second. Hubs come first, then the nodes that have
/// waited longest, and whoever waits gets the newest targets when it is its turn.
pub(super) fn pass_on_targets(state: &mut EdgeState, now: ClockTime) -> Vec<EdgeEffect> {
    state.targets_due = None;
    let Some(message) = distributed_targets(state) else {
        return Vec::new();
    };
    let lacking = state
        .peers
        .iter()
        .filter(|(node, peer)| is_lacking(state, node, peer, &message, now));
    let mut receivers: Vec<_> = lacking
        .map(|(node, peer)| TargetsReceiver {
            is_lost: !is_peer_alive(state, peer, now),
            is_hub: state.hubs.contains(node),
            sent_at: peer.sent_targets.as_ref().map(|sent| sent.at),
            node: node.clone(),
            address: peer.address,
        })
        .collect();
    receivers.sort_by_key(|receiver| (receiver.is_lost, !receiver.is_hub, receiver.sent_at));
    let cost = cost_of(&message.targets, state.settings.link_rate);
    let interval = resting_time(&receivers, cost);
    let mut effects = Vec::new();
    state.targets_budget_due = state.targets_budget_due.max(now.before(BURST_DURATION));
    for receiver in receivers {
        let rested_at = receiver
            .sent_at
            .filter(|_| receiver.is_hub)
            .map(|at| at + interval);
        let due = rested_at.unwrap_or_default().max(state.targets_budget_due);
        if due > now {
            let earliest = state.targets_due.map_or(due, |other| other.min(due));
            state.targets_due = Some(earliest);
            continue;
        }
        let Some(peer) = state.peers.get_mut(&receiver.node) else {
            continue;
        };
        let sent = peer.sent_targets.as_ref();
        let repeats = sent
            .filter(|sent| sent.version == message.version)
            .map_or(0, |sent| sent.repeats + 1);
        peer.sent_targets = Some(SentTargets {
            version: message.version,
            at: now,
            repeats,
        });
        state.targets_budget_due = state.targets_budget_due + cost;
        let targets = message.targets.clone();
        effects.push(EdgeEffect::targets(
            receiver.address,
            targets,
            message.version,
        ));
    }
    effects
}

/// Shortest interval between two messages to a hub: while other nodes wait, hubs get half of the
/// budget.
fn resting_time(receivers: &[TargetsReceiver], cost: Duration) -> Duration {
    let hubs = receivers.iter().filter(|receiver| receiver.is_hub).count();
    if hubs == receivers.len() {
        return Duration::ZERO;
    }
    cost.saturating_mul(u32::try_from(2 * hubs).unwrap_or(u32::MAX))
}

/// Whether a node gets the targets from this one and was not sent them, or has not got them.
fn is_lacking(
    state: &EdgeState,
    node: &NodeName,
    peer: &PeerState,
    message: &TargetsMessage,
    now: ClockTime,
) -> bool {
    let is_hub = state.hubs.contains(node);
    let is_receiver = match is_hub {
        true => uses_hubs(state) && state.is_owner,
        false => peer.digest.is_some() && sends_sums_to(state, node, peer.digest.as_ref()),
    };
    let shown = shown_version(peer, is_hub);
    let has_none = shown == TargetsVersion::default();
    let is_older = lacks_targets(shown, message.version) && (has_none || !message.is_initial);
    if !is_receiver || !is_older {
        return false;
    }
    let Some(sent) = &peer.sent_targets else {
        return true;
    };
    if sent.version != message.version && !message.is_initial {
        return true;
    }
    let digest = peer.digest.as_ref();
    let shows_received = digest.is_some_and(|digest| digest.received_version.is_some());
    // Earlier builds go on showing an older version of targets that are the same.
    let doublings = match has_none || shows_received {
        true => 0,
        false => sent.repeats.min(MAX_RESEND_DOUBLINGS),
    };
    let is_shown_again = peer.last_digest_at.is_some_and(|at| at > sent.at);
    is_shown_again && now.since(sent.at) >= RESEND_INTERVAL * 2_u32.pow(doublings)
}

/// Version of the owner's targets that a node's digest shows; earlier builds name one number only.
fn shown_version(peer: &PeerState, is_hub: bool) -> TargetsVersion {
    let Some(digest) = &peer.digest else {
        return TargetsVersion::default();
    };
    digest.received_version.unwrap_or_else(|| match is_hub {
        true => digest.forwarded_version.into(),
        false => digest.targets_version.into(),
    })
}

/// Targets that this node sends to those that have older ones.
///
/// A hub without targets of an owner sends its own to nodes that have none, so that these can
/// serve before there is an owner.
fn distributed_targets(state: &EdgeState) -> Option<TargetsMessage> {
    let own = &state.targets;
    let (targets, version, is_initial) = match &state.received_targets {
        _ if state.is_owner => (own, state.targets_version, false),
        Some((targets, version)) => (targets, *version, false),
        None if !own.is_empty() => (own, complete_targets_version(state), true),
        None => return None,
    };
    Some(TargetsMessage {
        targets: targets.clone(),
        version,
        is_initial,
    })
}

/// Time in which the budget of a link allows a message with these targets.
fn cost_of(targets: &[SendTarget], link_rate: u64) -> Duration {
    let sizes = targets.iter().map(|target| {
        let model = target.model.as_ref().map_or("", ModelName::as_str);
        let names = [
            target.id.as_str(),
            target.domain.as_str(),
            target.service.as_str(),
            model,
        ];
        let senders = target.cold.iter().flat_map(|cold| cold.senders.iter());
        let senders = senders.map(|node| node.as_str().len() + 2).sum::<usize>();
        TARGET_OVERHEAD_BYTES + names.map(str::len).iter().sum::<usize>() + senders
    });
    let byte_count = u64::try_from(sizes.sum::<usize>()).unwrap_or(u64::MAX);
    let rate = (link_rate * LINK_PERCENT / 100).max(1);
    Duration::from_micros(byte_count.saturating_mul(1_000_000) / rate)
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
pub(super) fn propagated_config_version(state: &EdgeState, now: ClockTime) -> u64 {
    let propagation_delay = if uses_hubs(state) {
        state.times.config_propagation_delay
    } else {
        Duration::ZERO
    };
    let newest_first = state.config_history.iter().rev();
    let mut propagated = newest_first.filter(|(_, since)| now.since(*since) >= propagation_delay);
    propagated.next().map_or(0, |(version, _)| *version)
}
