//! State of the peer layer and the events that it receives from other gateways.
//!
//! The peer layer (crate `members`) exchanges store contents with other gateways,
//! so that a gateway can start while the store is down. It shares the gateway's own
//! reads of the store: a listing is composed of the open watch of the document and
//! the latest read of the fabric domains. So the layer adds no calls to the store.

use std::net::{IpAddr, SocketAddr};

use base::prelude::*;
use members::{ItemEntry, PeerFrame, PeerState};

/// Input from another gateway.
#[derive(Debug)]
pub enum PeerEvent {
    /// A frame was received.
    Frame {
        /// Remote address of the connection.
        source: IpAddr,
        /// Received frame.
        frame: PeerFrame,
    },
}

/// Peer layer of one gateway.
#[derive(Debug)]
pub(crate) struct PeerLayer {
    pub peers: PeerState,
    /// Seeds to join through; `None` once the join was sent.
    pub seeds: Option<Vec<SocketAddr>>,
    /// Entry of the document as this process last read it from the store.
    pub document: Option<ItemEntry>,
    /// Whether the layer waits for a listing of the store.
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

    /// Next deadline of the layer; joining through the seeds is due at once.
    pub fn next_deadline(&self) -> Option<ClockTime> {
        if self.seeds.is_some() {
            return Some(ClockTime::default());
        }
        self.peers.next_deadline()
    }
}
