//! State of one node that knows ten peers, and frames sent to it.
#![allow(dead_code, reason = "each test file uses a part")]

use std::net::SocketAddr;

use base::prelude::*;
use members::{
    Item, ItemKey, NodeIncarnation, NodePhase, NodeRecord, PeerEffect, PeerFrame, PeerMessage,
    PeerSettings, PeerState, StoreListing,
};

pub const START: ClockTime = ClockTime::from_millis(100_000);
pub const SEED: u64 = 11;

pub fn after(millis: u64) -> ClockTime {
    START + Duration::from_millis(millis)
}

pub fn node(name: &str) -> NodeName {
    NodeName::new(name).unwrap()
}

pub fn key(name: &str) -> ItemKey {
    ItemKey::Section(SectionName::new(name).unwrap())
}

pub fn item(version: u64, body: &str) -> Item {
    Item {
        key: key("pricing"),
        version: ObjectVersion(version),
        body: Some(Arc::from(body)),
    }
}

pub fn record(name: &str, region: &str, domain: &str, port: u16) -> NodeRecord {
    NodeRecord {
        node: node(name),
        region: RegionName::new(region).unwrap(),
        domain: DomainName::new(domain).unwrap(),
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        incarnation: NodeIncarnation(5),
        refutations: 0,
        phase: NodePhase::Alive,
    }
}

/// Records of the peers of the node under test, `own-1` in failure domain `a`:
/// nine peers are in `a` and one is in another region.
pub fn peers() -> Vec<NodeRecord> {
    let same_domain = (0..9).map(|index| record(&format!("peer-{index}"), "r", "a", 7_000 + index));
    let other_region = record("far", "s", "z", 8_000);
    same_domain.chain([other_region]).collect()
}

pub fn joined() -> PeerState {
    let local = record("own-1", "r", "a", 6_000);
    let mut state = PeerState::new(PeerSettings::default(), local, SEED);
    state.join(Vec::new(), peers(), START);
    state.tick(START + Duration::from_millis(1));
    assert!(
        !state.watches_store(),
        "the node under test must not be a watcher"
    );
    state
}

/// Ready node with one section in version 5.
pub fn ready() -> PeerState {
    let mut state = joined();
    state.apply_store_item(item(5, "five"), START);
    let listing = StoreListing {
        version: ObjectVersion(5),
        entries: vec![item(5, "five").entry()],
    };
    state.apply_store_listing(listing, START);
    assert!(state.readiness().is_some());
    state
}

pub fn frame(from: &str, message: PeerMessage) -> PeerFrame {
    let local = record("own-1", "r", "a", 6_000);
    let mut probe = PeerState::new(PeerSettings::default(), local, SEED);
    let seeds = vec![SocketAddr::from(([127, 0, 0, 1], 1))];
    let effects = probe.join(seeds, Vec::new(), START);
    let PeerEffect::Send { frame, .. } = &effects[0] else {
        panic!("a starting node contacts its seeds");
    };
    PeerFrame {
        cluster: frame.cluster,
        from: node(from),
        incarnation: NodeIncarnation(5),
        message,
    }
}

/// Linked peers of the same region that are, or are not, watchers.
pub fn linked(state: &PeerState, is_watcher: bool) -> Vec<String> {
    let domain = DomainName::new("a").unwrap();
    let watchers = state.watchers(&domain);
    let links = state.linked_peers().filter(|peer| peer.as_str() != "far");
    links
        .filter(|peer| watchers.contains(peer) == is_watcher)
        .map(|peer| peer.as_str().to_owned())
        .collect()
}

pub fn delivered(effects: &[PeerEffect]) -> Vec<u64> {
    let versions = effects.iter().filter_map(|effect| match effect {
        PeerEffect::Deliver(item) => Some(item.version.0),
        _ => None,
    });
    versions.collect()
}

pub fn sent(effects: &[PeerEffect]) -> Vec<PeerMessage> {
    let messages = effects.iter().filter_map(|effect| match effect {
        PeerEffect::Send { frame, .. } => Some(frame.message.clone()),
        _ => None,
    });
    messages.collect()
}
