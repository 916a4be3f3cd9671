//! Connections between nodes, each used in one direction.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use base::prelude::*;
use bytes::Bytes;
use futures_channel::mpsc::{Receiver, Sender, UnboundedSender, channel};
use futures_util::StreamExt;
use monoio::net::TcpListener;
use net::{FrameStream, sleep_until, with_deadline};

use super::ports::PlatformStore;
use super::wire::decode_message;
use crate::{EdgeEvent, PeerMessage};

/// Timeout of a connection attempt: ten round trips between regions.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Timeout of writing a message.
const SEND_TIMEOUT: Duration = Duration::from_millis(600);
/// Delay after a failed connection attempt; it is short because nodes that start together
/// must reach each other soon.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);
/// Time without a message after which a connection is dropped; digests arrive at least
/// every 400 ms.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(3);
/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Length of the queue to one node. Messages beyond it are dropped; digests are repeated
/// anyway.
const SEND_QUEUE_LENGTH: usize = 8;

/// Connections to other nodes.
pub(super) struct PeerLinks {
    clock: Rc<dyn ClockSource>,
    links: RefCell<HashMap<SocketAddr, PeerLink>>,
}

/// Connection to one node.
struct PeerLink {
    messages: Sender<Bytes>,
    /// Set to open a new connection before the next message.
    is_outdated: Rc<Cell<bool>>,
}

impl PeerLinks {
    pub fn new(clock: Rc<dyn ClockSource>) -> Self {
        Self {
            clock,
            links: RefCell::default(),
        }
    }

    /// Queues a message for a node, or drops it if the queue is full.
    pub fn send(&self, to: SocketAddr, message: Bytes) {
        let mut links = self.links.borrow_mut();
        let link = links.entry(to).or_insert_with(|| {
            let (messages, receiver) = channel(SEND_QUEUE_LENGTH);
            let is_outdated = Rc::<Cell<bool>>::default();
            let clock = self.clock.clone();
            monoio::spawn(send_messages(to, receiver, is_outdated.clone(), clock));
            PeerLink {
                messages,
                is_outdated,
            }
        });
        if link.messages.try_send(message).is_err() {
            log::debug!(node:% = to; "message to node dropped: send queue full");
        }
    }

    /// Sends the next message to a node on a new connection.
    pub fn reconnect(&self, to: SocketAddr) {
        if let Some(link) = self.links.borrow().get(&to) {
            link.is_outdated.set(true);
        }
    }
}

/// Sends queued messages to one node and reconnects after failures.
async fn send_messages(
    to: SocketAddr,
    mut messages: Receiver<Bytes>,
    is_outdated: Rc<Cell<bool>>,
    clock: Rc<dyn ClockSource>,
) {
    let clock = clock.as_ref();
    let mut stream: Option<FrameStream> = None;
    while let Some(message) = messages.next().await {
        if is_outdated.take() {
            stream = None;
        }
        if stream.is_none() {
            let connect = FrameStream::connect(to);
            match with_deadline(clock, clock.now() + CONNECT_TIMEOUT, connect).await {
                Some(Ok(connected)) => stream = Some(connected),
                _ => {
                    log::debug!(node:% = to; "node unreachable");
                    sleep_until(clock, clock.now() + RECONNECT_DELAY).await;
                    continue;
                }
            }
        }
        if let Some(connection) = &mut stream {
            let sent =
                with_deadline(clock, clock.now() + SEND_TIMEOUT, connection.send(message)).await;
            if !matches!(sent, Some(Ok(()))) {
                log::debug!(node:% = to; "connection to node lost");
                stream = None;
            }
        }
    }
}

/// Accepts connections from other nodes.
pub(super) async fn accept_links(
    listener: TcpListener,
    store: Rc<dyn PlatformStore>,
    clock: Rc<dyn ClockSource>,
    events: UnboundedSender<EdgeEvent>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, source)) => match FrameStream::new(stream) {
                Ok(stream) => {
                    monoio::spawn(receive_messages(
                        stream,
                        source,
                        store.clone(),
                        clock.clone(),
                        events.clone(),
                    ));
                }
                Err(error) => {
                    log::warn!(source:% = source; "connection from node unusable: {error}")
                }
            },
            Err(error) => {
                log::warn!("connection from node not accepted: {error}");
                sleep_until(clock.as_ref(), clock.now() + ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn receive_messages(
    mut stream: FrameStream,
    source: SocketAddr,
    store: Rc<dyn PlatformStore>,
    clock: Rc<dyn ClockSource>,
    events: UnboundedSender<EdgeEvent>,
) {
    let mut is_new = true;
    loop {
        let deadline = clock.now() + RECEIVE_TIMEOUT;
        let received = with_deadline(clock.as_ref(), deadline, stream.receive()).await;
        let Some(Ok(Some(bytes))) = received else {
            return;
        };
        let parse_config = |text: &str| store.parse_config(text);
        match decode_message(&bytes, clock.now(), &parse_config) {
            Ok(message) => {
                if let PeerMessage::Digest(digest) = &message
                    && std::mem::take(&mut is_new)
                {
                    // The event loop ends only when the process is about to exit.
                    let _ = events.unbounded_send(EdgeEvent::Connected(digest.from.clone()));
                }
                if events.unbounded_send(EdgeEvent::Peer(message)).is_err() {
                    return;
                }
            }
            Err(error) => log::warn!(source:% = source; "message from node ignored: {error}"),
        }
    }
}
