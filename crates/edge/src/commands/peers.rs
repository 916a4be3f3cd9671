//! What nodes tell one another.

use base::prelude::*;
use replicas::commands::probe_group;

use super::feeds::adopt;
use super::refresh_places;
use super::shared::adopt_record;
use crate::peer::{Digest, PeerMessage};
use crate::queries::{can_own, hubs, is_heard, is_hub, is_star, is_told};
use crate::state::PeerState;
use crate::{EdgeEffect, EdgeState, FeedPace};

/// Pause before a node is sent the same thing again.
const RESEND_PAUSE: Duration = Duration::from_millis(500);

/// Time in which a hub must be heard after it has become one.
const HUB_PATIENCE: Duration = Duration::from_millis(1_200);
/// Time for which a hub that was not heard doesn't count as one.
const HUB_REST: Duration = Duration::from_secs(5);
/// Places compared for each request where counts are old.
const STAR_SAMPLE: usize = 4;

/// Sends digests, if it is time.
pub(crate) fn tell_peers(state: &mut EdgeState, now: ClockTime) -> Vec<EdgeEffect> {
    if state.digest_due > now {
        return tell_places(state, now);
    }
    if now.since(state.digest_due) >= state.times.lag_limit {
        state.lagged_at = Some(now);
    }
    choose_hubs(state, now);
    let unheard = unheard_nodes(state, now);
    state.relay.set_unreported_nodes(unheard);
    state.digest_due = now + digest_period(state);
    let own = Digest {
        from: state.settings.node.clone(),
        intent_version: state.intent.version().unwrap_or(0),
        record_version: state.planner.version().unwrap_or_default(),
        places_version: state.places_version,
        owns: state.is_owner,
        can_own: can_own(state, now),
        counts: relay::queries::local_counts(&state.relay, now),
        silent: std::mem::take(&mut state.silent).into_iter().collect(),
        paces: if state.is_owner {
            let paces = state.paces.iter();
            paces.map(|(head, pace)| (head.clone(), *pace)).collect()
        } else {
            Vec::new()
        },
    };
    let mut summed = own.clone();
    summed.counts = if state.is_owner {
        relay::queries::total_counts(&state.relay, now)
    } else {
        Vec::new()
    };
    let speaks_to_all = is_hub(state);
    let mut effects = Vec::new();
    for (node, peer) in &state.peers {
        let is_hub = state.hubs.contains(node);
        if is_hub {
            effects.push(EdgeEffect::digest(peer.address, own.clone()));
        } else if speaks_to_all {
            effects.push(EdgeEffect::digest(peer.address, summed.clone()));
        }
    }
    effects.extend(tell_places(state, now));
    effects.extend(set_pace(state, now));
    effects
}

/// Chooses the hubs anew, without those that should have been heard.
fn choose_hubs(state: &mut EdgeState, now: ClockTime) {
    let silence = state.times.peer_silence;
    for peer in state.peers.values_mut() {
        let is_heard = peer.heard_at.is_some_and(|at| now.since(at) < silence);
        let is_late = peer
            .expected_at
            .is_some_and(|at| now.since(at) >= HUB_PATIENCE);
        if is_late && !is_heard {
            peer.silent_until = now + HUB_REST;
        }
    }
    let hubs = hubs(state, now);
    for (node, peer) in &mut state.peers {
        if hubs.contains(node) {
            peer.expected_at.get_or_insert(now);
        } else {
            peer.expected_at = None;
        }
    }
    if hubs != state.hubs {
        log::debug!(count = hubs.len(); "the hubs have changed");
        state.hubs = hubs;
    }
    let sample = is_star(state).then_some(STAR_SAMPLE);
    state.relay.set_sample_size(sample);
}

/// Other nodes whose requests this node doesn't know yet, because it has just started.
///
/// Later a node that isn't heard is gone, and its requests with it.
fn unheard_nodes(state: &EdgeState, now: ClockTime) -> usize {
    if now.since(state.started_at) >= state.times.blind_span {
        return 0;
    }
    let speaks_for_all = |peer: &&PeerState| peer.digest.as_ref().is_some_and(|told| told.owns);
    let mut heard = state
        .peers
        .values()
        .filter(|peer| is_heard(state, peer, now));
    if is_star(state) && !is_hub(state) {
        let is_told = heard.any(|peer| speaks_for_all(&peer));
        return if is_told { 0 } else { state.peers.len() };
    }
    state.peers.len() - heard.count()
}

/// Pause before the next digest, which grows with the number of nodes.
fn digest_period(state: &EdgeState) -> Duration {
    let peers = u32::try_from(state.peers.len()).unwrap_or(u32::MAX);
    let times = &state.times;
    let span = if !is_hub(state) {
        times.digest_spoke
    } else if is_star(state) && state.is_owner {
        let places = u32::try_from(state.places.len()).unwrap_or(u32::MAX);
        let by_size = times.digest_place.saturating_mul(places);
        times.digest_owner.max(by_size)
    } else {
        times.digest_span
    };
    span.saturating_mul(peers)
        .clamp(times.digest_least, times.digest_most)
}

/// Tells nodes that don't follow the store which places there are, if they have changed.
fn tell_places(state: &mut EdgeState, now: ClockTime) -> Vec<EdgeEffect> {
    if !std::mem::take(&mut state.has_new_places) || !state.is_owner || !is_star(state) {
        return Vec::new();
    }
    let version = state.places_version;
    let (places, hubs) = (&state.places, &state.hubs);
    let others = state
        .peers
        .iter_mut()
        .filter(|(node, _)| !hubs.contains(*node));
    others
        .map(|(_, peer)| {
            peer.places_sent = Some(now);
            EdgeEffect::Send {
                to: peer.address,
                message: PeerMessage::Places(places.clone(), version),
            }
        })
        .collect()
}

/// Nodes that must be heard before this one relies on being told of changes.
const PEERS_RELIED_ON: usize = 2;

/// Changes the pace of the feeds if need be.
fn set_pace(state: &mut EdgeState, now: ClockTime) -> Option<EdgeEffect> {
    let heard = state
        .peers
        .values()
        .filter(|peer| is_heard(state, peer, now));
    let pace = FeedPace {
        is_owner: state.is_owner,
        has_peers: heard.count() >= PEERS_RELIED_ON,
        is_told: is_told(state, now),
    };
    if pace == state.pace {
        return None;
    }
    state.pace = pace;
    Some(EdgeEffect::Pace(pace))
}

/// Sends the record to every node at once.
pub(crate) fn push_record(state: &mut EdgeState, now: ClockTime) -> Vec<EdgeEffect> {
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
            peer.record_sent = Some(now);
            EdgeEffect::record(peer.address, record.clone(), version)
        })
        .collect()
}

/// Newest configuration that other nodes should have by now.
///
/// A few nodes tell one another at once. To send a large one to every node of
/// many would fill this node's link just when they read it from the store
/// themselves, so they get time for that.
fn settled_intent(state: &EdgeState, now: ClockTime) -> u64 {
    let patience = if is_star(state) {
        state.times.intent_patience
    } else {
        Duration::ZERO
    };
    let newest_first = state.intent_since.iter().rev();
    let mut settled = newest_first.filter(|(_, since)| now.since(*since) >= patience);
    settled.next().map_or(0, |(version, _)| *version)
}

/// Takes in a message of another node.
pub(crate) fn take_message(
    state: &mut EdgeState,
    message: PeerMessage,
    now: ClockTime,
) -> Vec<EdgeEffect> {
    match message {
        PeerMessage::Digest(digest) => take_digest(state, *digest, now),
        PeerMessage::RoutingConfig(intent, text) => {
            if adopt(state, intent, text, "node", now) {
                refresh_places(state);
            }
            Vec::new()
        }
        PeerMessage::Places(places, version) => {
            let known = state.told_places.as_ref().map(|(_, version)| *version);
            if known.is_none_or(|known| known < version) {
                state.told_places = Some((places, version));
                refresh_places(state);
            }
            Vec::new()
        }
        PeerMessage::Record(record, version) => {
            if adopt_record(state, record, version, now) {
                refresh_places(state);
                state.has_news = true;
            }
            Vec::new()
        }
    }
}

fn take_digest(state: &mut EdgeState, digest: Digest, now: ClockTime) -> Vec<EdgeEffect> {
    if is_hub(state) {
        relay::commands::update_remote_counts(&mut state.relay, &digest.from, &digest.counts, now);
    } else {
        relay::commands::update_total_counts(&mut state.relay, &digest.from, &digest.counts, now);
    }
    if state.is_owner && is_star(state) {
        // Nodes that hear only hubs hear of silent heads through the owner.
        state.silent.extend(digest.silent.iter().cloned());
    }
    if digest.owns && !state.is_owner {
        let paces = digest.paces.iter().cloned().collect();
        if state.paces != paces {
            state.paces = paces;
            refresh_places(state);
        }
    }
    for head in &digest.silent {
        relay::commands::suspect_target(&mut state.relay, head, now);
        if state.is_owner {
            probe_group(&mut state.planner, head, now);
            state.has_news = true;
        }
    }
    let settled_version = settled_intent(state, now);
    let record_version = state.planner.version().unwrap_or_default();
    let Some(peer) = state.peers.get_mut(&digest.from) else {
        // Its entry in the store will say where it is.
        return Vec::new();
    };
    let mut effects = Vec::new();
    let may_send = |sent: Option<ClockTime>| sent.is_none_or(|at| now.since(at) >= RESEND_PAUSE);
    if digest.intent_version < settled_version
        && may_send(peer.intent_sent)
        && let (Some(intent), Some(text)) = (state.intent.get(), &state.intent_text)
    {
        peer.intent_sent = Some(now);
        effects.push(EdgeEffect::Send {
            to: peer.address,
            message: PeerMessage::RoutingConfig(intent.clone(), text.clone()),
        });
    }
    let is_hub = state.hubs.contains(&digest.from);
    if is_hub && digest.record_version < record_version && may_send(peer.record_sent) {
        peer.record_sent = Some(now);
        let record = state.planner.record().clone();
        effects.push(EdgeEffect::record(peer.address, record, record_version));
    }
    let is_behind = digest.places_version < state.places_version;
    if !is_hub && state.is_owner && is_behind && may_send(peer.places_sent) {
        peer.places_sent = Some(now);
        effects.push(EdgeEffect::Send {
            to: peer.address,
            message: PeerMessage::Places(state.places.clone(), state.places_version),
        });
    }
    peer.heard_at = Some(now);
    peer.digest = Some(digest);
    effects
}
