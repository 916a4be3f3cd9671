//! Configurations and records that other nodes lack.

use std::net::SocketAddr;

use base::prelude::*;

use super::distribution::propagated_config_version;
use crate::peer::{Digest, PeerMessage, transfer_timeout};
use crate::queries::{is_peer_alive, supply_delay};
use crate::state::{PeerState, SupplyGap};
use crate::{EdgeEffect, EdgeState};

/// Shortest interval between two records sent to a node, and between the end of a transfer and the
/// next one, so that a digest can show what has arrived.
const RESEND_INTERVAL: Duration = Duration::from_millis(500);
/// Transfers of configurations at the same time. Together they fill this node's link without
/// making its other messages wait long.
const MAX_TRANSFERS: usize = 8;

/// Sends the configuration that a digest shows to be missing at its sender, if it is this node's
/// turn, or queues it.
pub(super) fn supply_config(
    state: &mut EdgeState,
    digest: &Digest,
    now: ClockTime,
) -> Option<EdgeEffect> {
    let propagated_version = propagated_config_version(state, now);
    let is_older = digest.config_version < propagated_version;
    let version = ObjectVersion(digest.config_version);
    let peer = state.peers.get_mut(&digest.from)?;
    let Some(gap) = update_gap(&mut peer.config_gap, is_older, version, now) else {
        peer.config_transfer.waiting_since = None;
        return None;
    };
    let transfer = peer.config_transfer;
    let is_under_way = transfer.lost_at.is_some_and(|lost_at| now < lost_at);
    let is_repeated =
        (transfer.ended_at).is_some_and(|ended_at| now.since(ended_at) < RESEND_INTERVAL);
    if is_under_way || is_repeated {
        return None;
    }
    let is_newer = |other: &Digest| other.config_version >= propagated_version;
    let delay = supply_delay(state, digest, is_newer, now)?;
    if now.since(gap.since) < delay {
        return None;
    }
    let under_way = (state.peers.values()).filter(|peer| {
        peer.config_transfer
            .lost_at
            .is_some_and(|lost_at| now < lost_at)
    });
    let has_room = under_way.count() < MAX_TRANSFERS;
    let config = state.config.get()?.clone();
    let text = state.config_text.clone()?;
    let peer = state.peers.get_mut(&digest.from)?;
    if !has_room {
        peer.config_transfer.waiting_since.get_or_insert(now);
        return None;
    }
    peer.config_transfer.waiting_since = None;
    peer.config_transfer.lost_at = Some(now + transfer_timeout(text.len()) + RESEND_INTERVAL);
    Some(EdgeEffect::Send {
        to: peer.address,
        message: PeerMessage::RoutingConfig(config, text),
    })
}

/// Ends the transfer to a node, and begins that which has waited longest.
pub(crate) fn finish_transfer(
    state: &mut EdgeState,
    to: SocketAddr,
    now: ClockTime,
) -> Vec<EdgeEffect> {
    let receiver = state.peers.values_mut().find(|peer| peer.address == to);
    if let Some(peer) = receiver {
        peer.config_transfer.lost_at = None;
        peer.config_transfer.ended_at = Some(now);
    }
    let waiting = state.peers.values();
    let waiting = waiting.filter(|peer| is_peer_alive(state, peer, now));
    let waiting = waiting
        .filter_map(|peer| Some((peer.config_transfer.waiting_since?, peer.digest.as_ref()?)));
    let mut waiting: Vec<_> = waiting.collect();
    waiting.sort_by_key(|(since, _)| *since);
    let digests: Vec<_> = waiting
        .into_iter()
        .map(|(_, digest)| digest.clone())
        .collect();
    let next = digests
        .iter()
        .find_map(|digest| supply_config(state, digest, now));
    next.into_iter().collect()
}

/// Sends the record of groups that a digest shows to be missing at a hub, if it is this node's
/// turn.
pub(super) fn supply_record(
    state: &mut EdgeState,
    digest: &Digest,
    now: ClockTime,
) -> Option<EdgeEffect> {
    if !state.hubs.contains(&digest.from) {
        return None;
    }
    let version = state.planner.version().unwrap_or_default();
    let is_older = digest.record_version < version;
    let peer = state.peers.get_mut(&digest.from)?;
    let gap = update_gap(&mut peer.record_gap, is_older, digest.record_version, now)?;
    let is_repeated = |peer: &PeerState| {
        (peer.record_sent_at).is_some_and(|sent_at| now.since(sent_at) < RESEND_INTERVAL)
    };
    if is_repeated(peer) {
        return None;
    }
    let is_newer = |other: &Digest| other.record_version >= version;
    let delay = supply_delay(state, digest, is_newer, now)?;
    if now.since(gap.since) < delay {
        return None;
    }
    let record = state.planner.record().clone();
    let peer = state.peers.get_mut(&digest.from)?;
    peer.record_sent_at = Some(now);
    Some(EdgeEffect::record(peer.address, record, version))
}

/// Updates what a node lacks from its digest; it begins anew whenever the node has got something.
fn update_gap(
    gap: &mut Option<SupplyGap>,
    is_older: bool,
    version: ObjectVersion,
    now: ClockTime,
) -> Option<SupplyGap> {
    let known = gap.filter(|known| known.version == version);
    *gap = is_older.then(|| {
        known.unwrap_or(SupplyGap {
            version,
            since: now,
        })
    });
    *gap
}
