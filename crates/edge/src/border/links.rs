//! Connections between nodes, one way each.

use std::cell::RefCell;
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
use crate::EdgeEvent;

/// Time in which a connection must be made; ten round trips between regions.
const CONNECT_SPAN: Duration = Duration::from_millis(250);
/// Time in which a message must be written.
const SEND_SPAN: Duration = Duration::from_millis(600);
/// Pause after a connection failed; nodes that start together must soon hear one another.
const FAULT_PAUSE: Duration = Duration::from_millis(100);
/// Silence after which a receiver takes its sender for gone; digests come five times a second.
const SILENCE_SPAN: Duration = Duration::from_secs(3);
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);
/// Messages that wait for one node; a digest more is dropped and said again later.
const WAITING_MESSAGES: usize = 8;

/// Connections to other nodes.
pub(super) struct PeerLinks {
    clock: Rc<dyn ClockSource>,
    links: RefCell<HashMap<SocketAddr, Sender<Bytes>>>,
}

impl PeerLinks {
    pub fn new(clock: Rc<dyn ClockSource>) -> Self {
        Self {
            clock,
            links: RefCell::default(),
        }
    }

    /// Sends a message, or drops it where too many wait.
    pub fn send(&self, to: SocketAddr, message: Bytes) {
        let mut links = self.links.borrow_mut();
        let link = links.entry(to).or_insert_with(|| {
            let (sender, receiver) = channel(WAITING_MESSAGES);
            monoio::spawn(send_messages(to, receiver, self.clock.clone()));
            sender
        });
        if link.try_send(message).is_err() {
            log::debug!(node:% = to; "a message to a node that takes none was dropped");
        }
    }
}

/// Sends messages to one node; connects again after a fault.
async fn send_messages(to: SocketAddr, mut messages: Receiver<Bytes>, clock: Rc<dyn ClockSource>) {
    let clock = clock.as_ref();
    let mut stream: Option<FrameStream> = None;
    while let Some(message) = messages.next().await {
        if stream.is_none() {
            let connect = FrameStream::connect(to);
            match with_deadline(clock, clock.now() + CONNECT_SPAN, connect).await {
                Some(Ok(connected)) => stream = Some(connected),
                _ => {
                    log::debug!(node:% = to; "a node can't be reached");
                    sleep_until(clock, clock.now() + FAULT_PAUSE).await;
                    continue;
                }
            }
        }
        if let Some(open) = &mut stream {
            let sent = with_deadline(clock, clock.now() + SEND_SPAN, open.send(message)).await;
            if !matches!(sent, Some(Ok(()))) {
                log::debug!(node:% = to; "the connection to a node broke");
                stream = None;
            }
        }
    }
}

/// Accepts connections of other nodes.
pub(super) async fn receive_links(
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
                Err(fault) => {
                    log::warn!(source:% = source; "a node's connection is unusable: {fault}")
                }
            },
            Err(fault) => {
                log::warn!("a node's connection can't be accepted: {fault}");
                sleep_until(clock.as_ref(), clock.now() + ACCEPT_PAUSE).await;
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
    loop {
        let deadline = clock.now() + SILENCE_SPAN;
        let received = with_deadline(clock.as_ref(), deadline, stream.receive()).await;
        let Some(Ok(Some(bytes))) = received else {
            return;
        };
        let read_intent = |text: &str| store.read_intent(text);
        match decode_message(&bytes, &read_intent) {
            Ok(message) => {
                if events.unbounded_send(EdgeEvent::Peer(message)).is_err() {
                    return;
                }
            }
            Err(fault) => log::warn!(source:% = source; "a node's message was left out: {fault}"),
        }
    }
}
