//! Carries the peer layer's effects out.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use base::prelude::*;
use bytes::Bytes;
use futures_channel::mpsc::{Sender, channel};
use members::wire::encode_frame;
use members::{FrameRefusal, PeerEffect, PeerFrame};

use super::links::send_frames;

/// Frames that wait for one peer; more are dropped and said again later.
const WAITING_FRAMES: usize = 256;

/// Carrier of the peer layer's effects.
pub struct PeerBorder {
    clock: Rc<dyn ClockSource>,
    links: Rc<RefCell<HashMap<SocketAddr, OpenLink>>>,
    next: Cell<u64>,
}

/// Connection to one peer.
struct OpenLink {
    number: u64,
    frames: Sender<Bytes>,
}

impl PeerBorder {
    /// Border without connections.
    pub fn new(clock: Rc<dyn ClockSource>) -> Self {
        Self {
            clock,
            links: Rc::default(),
            next: Cell::new(0),
        }
    }

    fn send(&self, to: SocketAddr, frame: PeerFrame) {
        let bytes = Bytes::from(encode_frame(frame));
        let mut links = self.links.borrow_mut();
        let link = links.entry(to).or_insert_with(|| self.open(to));
        if link.frames.try_send(bytes).is_err() {
            log::debug!(peer:% = to; "a frame to a peer that is slow or gone was dropped");
        }
    }

    fn open(&self, to: SocketAddr) -> OpenLink {
        let number = self.next.get();
        self.next.set(number + 1);
        let (frames, inbox) = channel(WAITING_FRAMES);
        let (links, clock) = (self.links.clone(), self.clock.clone());
        monoio::spawn(async move {
            if let Err(fault) = send_frames(to, inbox, clock).await {
                log::debug!(peer:% = to; "the connection to a peer ended: {fault}");
            }
            let mut links = links.borrow_mut();
            if links.get(&to).is_some_and(|link| link.number == number) {
                links.remove(&to);
            }
        });
        OpenLink { number, frames }
    }

    /// The task ends with the sender of its frames.
    fn close(&self, to: SocketAddr) {
        self.links.borrow_mut().remove(&to);
    }
}

impl EffectExecutor<PeerEffect> for PeerBorder {
    fn execute(&self, effect: PeerEffect) {
        match effect {
            PeerEffect::Send { to, frame } => self.send(to, frame),
            PeerEffect::Close { to } => self.close(to),
            PeerEffect::Ready => log::info!("the versions held are proven"),
            PeerEffect::Refused { from, reason } => note_refusal(&from, reason),
            PeerEffect::StoreBehind(key) => {
                log::info!(item:? = key; "the store gave an older version than the one in force");
            }
            PeerEffect::Deliver(_) | PeerEffect::WatchListing { .. } | PeerEffect::ReadItems(_) => {
                unreachable!("the loop keeps items and reads to itself")
            }
        }
    }
}

fn note_refusal(from: &NodeName, reason: FrameRefusal) {
    let from = from.as_str();
    match reason {
        FrameRefusal::OtherCluster | FrameRefusal::OwnName => {
            log::warn!(from; "a peer's frame was refused: {reason:?}");
        }
        _ => log::debug!(from; "a part of a peer's frame was refused: {reason:?}"),
    }
}
