//! Exchanges store contents with other gateways.

use std::net::IpAddr;

use ::watch::commands::adopt_document;
use ::watch::{WatchChange, WatchEvent};
use base::prelude::*;
use groups::FabricRecord;
use members::{Item, PeerEffect, PeerFrame, PeerMessage, StoreListing};

use super::watch;
use crate::items::{ItemContent, decode_item, document_item, document_key, fabric_item};
use crate::peers::{PeerEvent, PeerLayer};
use crate::{GatewayEffect, GatewayState};

/// Handles input from another gateway.
pub fn receive(state: &mut GatewayState, event: PeerEvent, now: ClockTime) -> Vec<GatewayEffect> {
    let Some(layer) = &mut state.peers else {
        return Vec::new();
    };
    let PeerEvent::Frame { source, frame } = event;
    if !has_known_address(layer, source, &frame) {
        return Vec::new();
    }
    // The layer must join before it replies to a frame, or its own node is
    // missing from the reply.
    let mut effects = join(layer, now);
    effects.extend(layer.peers.receive(frame, now));
    apply(state, effects, now)
}

/// Joins through the seeds, once.
fn join(layer: &mut PeerLayer, now: ClockTime) -> Vec<PeerEffect> {
    let seeds = layer.seeds.take();
    seeds.map_or_else(Vec::new, |seeds| layer.peers.join(seeds, Vec::new(), now))
}

/// Whether a frame comes from the known address of the node that it names as its
/// sender; a join must come from the address in its own record. Frames of unknown nodes
/// pass.
fn has_known_address(layer: &PeerLayer, source: IpAddr, frame: &PeerFrame) -> bool {
    let sender = match &frame.message {
        PeerMessage::Join(record) => Some(record),
        _ => layer.peers.node(&frame.from),
    };
    sender.is_none_or(|record| record.address.ip() == source)
}

/// Joins the other gateways at the start and processes expired deadlines.
pub fn advance(state: &mut GatewayState, now: ClockTime) -> Vec<GatewayEffect> {
    let Some(layer) = &mut state.peers else {
        return Vec::new();
    };
    let mut effects = join(layer, now);
    effects.extend(layer.peers.tick(now));
    apply(state, effects, now)
}

/// Announces to the other gateways that this one shuts down.
pub fn leave(state: &mut GatewayState, now: ClockTime) -> Vec<GatewayEffect> {
    let Some(layer) = &mut state.peers else {
        return Vec::new();
    };
    let effects = layer.peers.leave(now);
    apply(state, effects, now)
}

/// Passes the result of a store read to the peer layer, or its failure.
pub fn publish_read(
    state: &mut GatewayState,
    event: &WatchEvent,
    now: ClockTime,
) -> Vec<GatewayEffect> {
    let Some(layer) = &mut state.peers else {
        return Vec::new();
    };
    let effects = match event {
        WatchEvent::DocumentRead(Some((version, document))) => {
            let item = document_item(*version, document);
            layer.document = Some(item.entry());
            layer.peers.apply_store_item(item, now)
        }
        WatchEvent::DocumentUnchanged => {
            layer.peers.record_unchanged(&document_key(), now);
            Vec::new()
        }
        WatchEvent::FabricsRead(Some(records)) => publish_fabrics(layer, records, now),
        WatchEvent::DocumentRead(None) | WatchEvent::FabricsRead(None) => {
            record_listing_failure(layer, now)
        }
        _ => Vec::new(),
    };
    apply(state, effects, now)
}

fn publish_fabrics(
    layer: &mut PeerLayer,
    records: &[(FabricRecord, ObjectVersion)],
    now: ClockTime,
) -> Vec<PeerEffect> {
    let fabrics = records.iter();
    let items: Vec<Item> = fabrics
        .map(|(record, version)| fabric_item(*version, record))
        .collect();
    let fabrics = items.iter().map(Item::entry);
    let entries: Vec<_> = layer.document.iter().cloned().chain(fabrics).collect();
    let read_items = items.into_iter();
    let mut effects: Vec<_> = read_items
        .flat_map(|item| layer.peers.apply_store_item(item, now))
        .collect();
    if layer.document.is_some() && std::mem::take(&mut layer.is_listing) {
        // Objects are never removed, so the sum of their versions only grows.
        let sum = entries.iter().map(|entry| entry.version.0).sum();
        let version = ObjectVersion(sum);
        let listing = StoreListing { version, entries };
        effects.extend(layer.peers.apply_store_listing(listing, now));
    }
    effects
}

fn record_listing_failure(layer: &mut PeerLayer, now: ClockTime) -> Vec<PeerEffect> {
    if std::mem::take(&mut layer.is_listing) {
        layer.peers.record_listing_failure(now)
    } else {
        Vec::new()
    }
}

fn apply(state: &mut GatewayState, effects: Vec<PeerEffect>, now: ClockTime) -> Vec<GatewayEffect> {
    let pending = effects.into_iter();
    pending
        .flat_map(|effect| apply_effect(state, effect, now))
        .collect()
}

fn apply_effect(
    state: &mut GatewayState,
    effect: PeerEffect,
    now: ClockTime,
) -> Vec<GatewayEffect> {
    match effect {
        PeerEffect::Deliver(item) => apply_item(state, &item, now),
        PeerEffect::WatchListing { .. } => {
            if let Some(layer) = &mut state.peers {
                layer.is_listing = true;
            }
            Vec::new()
        }
        // Needs no read: the document is watched and the fabric domains are
        // read periodically, and each result is passed to the peer layer.
        PeerEffect::ReadItems(_) => Vec::new(),
        effect => vec![GatewayEffect::Peer(effect)],
    }
}

/// Applies a confirmed item like an object read from the store. As there, a version
/// older than the newest known one is ignored.
fn apply_item(state: &mut GatewayState, item: &Item, now: ClockTime) -> Vec<GatewayEffect> {
    let change = match decode_item(item) {
        ItemContent::Document(document) => {
            adopt_document(&mut state.watch, item.version, document, now)
        }
        ItemContent::Fabric(record) => WatchChange::Fabrics(vec![(record, item.version)]),
        ItemContent::Nothing => WatchChange::Nothing,
    };
    watch::apply(state, change, now)
}
