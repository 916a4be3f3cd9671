//! Executes the effects of the peer layer.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use base::prelude::*;
use bytes::Bytes;
use futures_channel::mpsc::{Sender, channel};
use members::wire::encode_frame;
use members::{FrameRefusal, PeerEffect, PeerFrame};

use super::connections::send_frames;

/// Largest number of frames queued for one peer. Further ones are dropped; the peer
/// layer repeats their contents later.
const MAX_QUEUED_FRAMES: usize = 256;

/// Executor of the peer layer's effects.
pub struct PeerExecutor {
    clock: Rc<dyn ClockSource>,
    connections: Rc<RefCell<HashMap<SocketAddr, PeerConnection>>>,
    next_number: Cell<u64>,
}

/// Outgoing connection to one peer.
struct PeerConnection {
    number: u64,
    frames: Sender<Bytes>,
}

impl PeerExecutor {
    /// Executor without connections.
    pub fn new(clock: Rc<dyn ClockSource>) -> Self {
        Self {
            clock,
            connections: Rc::default(),
            next_number: Cell::new(0),
        }
    }

    fn send(&self, to: SocketAddr, frame: PeerFrame) {
        let bytes = Bytes::from(encode_frame(frame));
        let mut connections = self.connections.borrow_mut();
        let connection = connections.entry(to).or_insert_with(|| self.open(to));
        if connection.frames.try_send(bytes).is_err() {
            log::debug!(peer:% = to; "frame dropped: the peer is slow or disconnected");
        }
    }

    fn open(&self, to: SocketAddr) -> PeerConnection {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let (frames, queue) = channel(MAX_QUEUED_FRAMES);
        let (connections, clock) = (self.connections.clone(), self.clock.clone());
        monoio::spawn(async move {
            if let Err(error) = send_frames(to, queue, clock).await {
                log::debug!(peer:% = to; "connection to peer failed: {error}");
            }
            let mut connections = connections.borrow_mut();
            if connections
                .get(&to)
                .is_some_and(|connection| connection.number == number)
            {
                connections.remove(&to);
            }
        });
        PeerConnection { number, frames }
    }

    /// Closes the connection: its task ends when the sender of its frames is dropped.
    fn close(&self, to: SocketAddr) {
        self.connections.borrow_mut().remove(&to);
    }
}

impl EffectExecutor<PeerEffect> for PeerExecutor {
    fn execute(&self, effect: PeerEffect) {
        match effect {
            PeerEffect::Send { to, frame } => self.send(to, frame),
            PeerEffect::Close { to } => self.close(to),
            PeerEffect::Ready => log::info!("peer layer ready: held versions confirmed"),
            PeerEffect::Refused { from, reason } => log_refusal(&from, reason),
            PeerEffect::StoreBehind(key) => {
                log::info!(item:? = key; "store returned an older version than the one in force");
            }
            PeerEffect::Deliver(_) | PeerEffect::WatchListing { .. } | PeerEffect::ReadItems(_) => {
                unreachable!("items and reads are handled within the loop")
            }
        }
    }
}

fn log_refusal(from: &NodeName, reason: FrameRefusal) {
    let from = from.as_str();
    match reason {
        FrameRefusal::OtherCluster | FrameRefusal::OwnName => {
            log::warn!(from; "frame from peer refused: {reason:?}");
        }
        _ => log::debug!(from; "part of a frame from peer refused: {reason:?}"),
    }
}
