//! Distribution of targets, records and configurations to other nodes.

use base::prelude::*;
use relay::SendTarget;

use crate::peer::{Digest, TargetsVersion};
use crate::queries::{read_targets_version, sends_sums_to, uses_hubs};
use crate::{EdgeEffect, EdgeState};

/// Sends changed targets of the owner to the hubs, which pass them on, and to the nodes that
/// this node sends the sums to.
pub(super) fn send_targets(state: &mut EdgeState, now: ClockTime) -> Vec<EdgeEffect> {
    if !std::mem::take(&mut state.has_unsent_targets) || !state.is_owner || !uses_hubs(state) {
        return Vec::new();
    }
    let (targets, version) = (state.targets.clone(), state.targets_version);
    pass_on_targets(state, targets, version, now)
}

/// Sends targets to the nodes that this hub sends the sums to; as the owner also to the hubs.
pub(super) fn pass_on_targets(
    state: &mut EdgeState,
    targets: Arc<[SendTarget]>,
    version: TargetsVersion,
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
pub(super) fn distributed_targets(
    state: &EdgeState,
    digest: &Digest,
) -> Option<(Arc<[SendTarget]>, TargetsVersion)> {
    if state.is_owner {
        return Some((state.targets.clone(), state.targets_version));
    }
    let has_none = digest.targets_version == ObjectVersion::default();
    let local = || (state.targets.clone(), read_targets_version(state));
    let received = state.received_targets.clone();
    received.or_else(|| (has_none && !state.targets.is_empty()).then(local))
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
