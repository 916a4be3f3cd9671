//! What a gateway keeps of the other gateways, and what it hears from them.
//!
//! The gateway's own reads of the store are the reads of the peer layer too: a
//! listing is what the open watch of the document and the latest read of the
//! fabric domains say together. So the layer costs the store no call.

use std::net::{IpAddr, SocketAddr};

use base::prelude::*;
use members::{ItemEntry, PeerFrame, PeerState};

/// Something that came from another gateway.
#[derive(Debug)]
pub enum PeerEvent {
    /// A frame.
    Frame {
        /// Address that the connection came from.
        source: IpAddr,
        /// The frame.
        frame: PeerFrame,
    },
}

/// Peer layer of one gateway.
#[derive(Debug)]
pub(crate) struct PeerLayer {
    pub peers: PeerState,
    /// Seeds to ask; none once they were asked.
    pub seeds: Option<Vec<SocketAddr>>,
    /// Document as this process last read it from the store.
    pub document: Option<ItemEntry>,
    /// Whether the layer waits for a listing.
    pub is_listing: bool,
}

impl PeerLayer {
    pub fn new(peers: PeerState, seeds: Vec<SocketAddr>) -> Self {
        Self {
            peers,
            seeds: Some(seeds),
            document: None,
            is_listing: false,
        }
    }

    /// Instant at which it is next due; its start is due at once.
    pub fn next_deadline(&self) -> Option<ClockTime> {
        if self.seeds.is_some() {
            return Some(ClockTime::default());
        }
        self.peers.next_deadline()
    }
}
