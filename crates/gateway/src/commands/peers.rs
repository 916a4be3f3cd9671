//! Shares what was read with the other gateways, and takes in what they prove.

use std::net::IpAddr;

use ::watch::commands::adopt_document;
use ::watch::{WatchChange, WatchEvent};
use base::prelude::*;
use groups::FabricRecord;
use members::{Item, PeerEffect, PeerFrame, PeerMessage, StoreListing};

use super::watch;
use crate::items::{ItemContent, document_item, fabric_item, read_item};
use crate::peers::{PeerEvent, PeerLayer};
use crate::{GatewayEffect, GatewayState};

/// Takes in something from another gateway.
pub fn take(state: &mut GatewayState, event: PeerEvent, now: ClockTime) -> Vec<GatewayEffect> {
    let Some(layer) = &mut state.peers else {
        return Vec::new();
    };
    let PeerEvent::Frame { source, frame } = event;
    if !comes_from(layer, source, &frame) {
        return Vec::new();
    }
    // A layer that answered before its own start would leave itself out.
    let mut effects = start(layer, now);
    effects.extend(layer.peers.receive(frame, now));
    apply(state, effects, now)
}

/// Asks the seeds, once.
fn start(layer: &mut PeerLayer, now: ClockTime) -> Vec<PeerEffect> {
    let seeds = layer.seeds.take();
    seeds.map_or_else(Vec::new, |seeds| layer.peers.join(seeds, Vec::new(), now))
}

/// Whether a frame comes from the address that its sender is known by.
fn comes_from(layer: &PeerLayer, source: IpAddr, frame: &PeerFrame) -> bool {
    let known = match &frame.message {
        PeerMessage::Join(record) => Some(record),
        _ => layer.peers.node(&frame.from),
    };
    known.is_none_or(|record| record.address.ip() == source)
}

/// Starts the layer, and acts on its deadlines.
pub fn advance(state: &mut GatewayState, now: ClockTime) -> Vec<GatewayEffect> {
    let Some(layer) = &mut state.peers else {
        return Vec::new();
    };
    let mut effects = start(layer, now);
    effects.extend(layer.peers.tick(now));
    apply(state, effects, now)
}

/// Tells the others that this gateway ends.
pub fn leave(state: &mut GatewayState, now: ClockTime) -> Vec<GatewayEffect> {
    let Some(layer) = &mut state.peers else {
        return Vec::new();
    };
    let effects = layer.peers.leave(now);
    apply(state, effects, now)
}

/// Shares what the store said, or notes that it said nothing.
pub fn share_read(
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
        WatchEvent::FabricsRead(Some(records)) => share_fabrics(layer, records, now),
        WatchEvent::DocumentRead(None) | WatchEvent::FabricsRead(None) => fail_listing(layer, now),
        _ => Vec::new(),
    };
    apply(state, effects, now)
}

fn share_fabrics(
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
    let learned = items.into_iter();
    let mut effects: Vec<_> = learned
        .flat_map(|item| layer.peers.apply_store_item(item, now))
        .collect();
    if layer.document.is_some() && std::mem::take(&mut layer.is_listing) {
        // Objects are never removed, so that the sum grows with each of them.
        let sum = entries.iter().map(|entry| entry.version.0).sum();
        let version = ObjectVersion(sum);
        let listing = StoreListing { version, entries };
        effects.extend(layer.peers.apply_store_listing(listing, now));
    }
    effects
}

fn fail_listing(layer: &mut PeerLayer, now: ClockTime) -> Vec<PeerEffect> {
    if std::mem::take(&mut layer.is_listing) {
        layer.peers.record_listing_failure(now)
    } else {
        Vec::new()
    }
}

fn apply(state: &mut GatewayState, effects: Vec<PeerEffect>, now: ClockTime) -> Vec<GatewayEffect> {
    let applied = effects.into_iter();
    applied
        .flat_map(|effect| apply_one(state, effect, now))
        .collect()
}

fn apply_one(state: &mut GatewayState, effect: PeerEffect, now: ClockTime) -> Vec<GatewayEffect> {
    match effect {
        PeerEffect::Deliver(item) => deliver(state, &item, now),
        PeerEffect::WatchListing { .. } => {
            if let Some(layer) = &mut state.peers {
                layer.is_listing = true;
            }
            Vec::new()
        }
        // The document's watch is open and fabric domains are read all the
        // time: what these say is learned as it comes.
        PeerEffect::ReadItems(_) => Vec::new(),
        effect => vec![GatewayEffect::Peer(effect)],
    }
}

/// Brings a proven item into force; the store's floors hold for it as well.
fn deliver(state: &mut GatewayState, item: &Item, now: ClockTime) -> Vec<GatewayEffect> {
    let change = match read_item(item) {
        ItemContent::Document(document) => {
            adopt_document(&mut state.watch, item.version, document, now)
        }
        ItemContent::Fabric(record) => WatchChange::Fabrics(vec![(record, item.version)]),
        ItemContent::Nothing => WatchChange::Nothing,
    };
    watch::apply(state, change, now)
}
