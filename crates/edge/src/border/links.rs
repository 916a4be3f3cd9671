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
use net::{FrameStream, MetricSink, sleep_until, with_deadline};

use super::ports::PlatformStore;
use super::traffic::TrafficMeter;
use super::wire::{decode_message, encode_message};
use crate::{EdgeEvent, PeerMessage, transfer_timeout};

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

/// Time in the queue or on the way from which a message is logged as slow.
const SLOW_MESSAGE: Duration = Duration::from_millis(300);

/// Connections to other nodes.
///
/// Configurations have a connection each, as digests and targets would wait behind a large one.
pub(super) struct PeerLinks {
    clock: Rc<dyn ClockSource>,
    links: RefCell<HashMap<SocketAddr, PeerLink>>,
    traffic: Rc<TrafficMeter>,
    events: UnboundedSender<EdgeEvent>,
    /// Latest configuration that was sent, and its encoded form.
    encoded_config: RefCell<Option<(Arc<str>, Bytes)>>,
}

/// Message in the queue to a node.
struct QueuedMessage {
    kind: &'static str,
    bytes: Bytes,
    queued_at: ClockTime,
}

/// Connection to one node.
struct PeerLink {
    messages: Sender<QueuedMessage>,
    /// Set to open a new connection before the next message.
    is_outdated: Rc<Cell<bool>>,
}

impl PeerLinks {
    pub fn new(
        clock: Rc<dyn ClockSource>,
        metrics: Rc<dyn MetricSink>,
        events: UnboundedSender<EdgeEvent>,
    ) -> Self {
        Self {
            traffic: Rc::new(TrafficMeter::new(metrics, clock.now())),
            clock,
            links: RefCell::default(),
            events,
            encoded_config: RefCell::default(),
        }
    }

    /// Encodes a message; a configuration only once, as many nodes may lack it.
    fn encode(&self, message: &PeerMessage, now: ClockTime) -> Bytes {
        let PeerMessage::RoutingConfig(_, text) = message else {
            return Bytes::from(encode_message(message, now));
        };
        let mut encoded = self.encoded_config.borrow_mut();
        if let Some((known, bytes)) = encoded.as_ref()
            && Arc::ptr_eq(known, text)
        {
            return bytes.clone();
        }
        let bytes = Bytes::from(encode_message(message, now));
        *encoded = Some((text.clone(), bytes.clone()));
        bytes
    }

    /// Queues a message for a node, or drops it if the queue is full. The end of the transfer of a
    /// configuration is an event.
    pub fn send(&self, to: SocketAddr, message: &PeerMessage) {
        let now = self.clock.now();
        let is_config = matches!(message, PeerMessage::RoutingConfig(..));
        let message = QueuedMessage {
            kind: message.kind(),
            bytes: self.encode(message, now),
            queued_at: now,
        };
        if is_config {
            let (clock, traffic) = (self.clock.clone(), self.traffic.clone());
            let events = self.events.clone();
            monoio::spawn(async move {
                transfer(to, &message, clock.as_ref(), &traffic).await;
                // The event loop ends only when the process is about to exit.
                let _ = events.unbounded_send(EdgeEvent::Transferred(to));
            });
            return;
        }
        let mut links = self.links.borrow_mut();
        let link = links.entry(to).or_insert_with(|| {
            let (messages, receiver) = channel(SEND_QUEUE_LENGTH);
            let is_outdated = Rc::<Cell<bool>>::default();
            let clock = self.clock.clone();
            let traffic = self.traffic.clone();
            let task = send_messages(to, receiver, is_outdated.clone(), clock, traffic);
            monoio::spawn(task);
            PeerLink {
                messages,
                is_outdated,
            }
        });
        if let Err(error) = link.messages.try_send(message) {
            report_failure(&self.traffic, to, &error.into_inner(), "dropped", now);
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
    mut messages: Receiver<QueuedMessage>,
    is_outdated: Rc<Cell<bool>>,
    clock: Rc<dyn ClockSource>,
    traffic: Rc<TrafficMeter>,
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
                    report_failure(&traffic, to, &message, "unreachable", clock.now());
                    sleep_until(clock, clock.now() + RECONNECT_DELAY).await;
                    continue;
                }
            }
        }
        if let Some(connection) = &mut stream {
            let started_at = clock.now();
            let send = connection.send(message.bytes.clone());
            let sent = with_deadline(clock, started_at + SEND_TIMEOUT, send).await;
            let now = clock.now();
            match sent {
                Some(Ok(())) => {
                    traffic.record(message.kind, "sent", message.bytes.len(), now);
                    log_slow_message(to, &message, started_at, now);
                }
                Some(Err(_)) => {
                    report_failure(&traffic, to, &message, "broken", now);
                    stream = None;
                }
                None => {
                    report_failure(&traffic, to, &message, "timed-out", now);
                    stream = None;
                }
            }
        }
    }
}

/// Sends a message on a connection of its own.
async fn transfer(
    to: SocketAddr,
    message: &QueuedMessage,
    clock: &dyn ClockSource,
    traffic: &TrafficMeter,
) {
    let started_at = clock.now();
    let connect = FrameStream::connect(to);
    let connected = with_deadline(clock, started_at + CONNECT_TIMEOUT, connect).await;
    let Some(Ok(mut connection)) = connected else {
        report_failure(traffic, to, message, "unreachable", clock.now());
        return;
    };
    let deadline = started_at + transfer_timeout(message.bytes.len());
    let sent = with_deadline(clock, deadline, connection.send(message.bytes.clone())).await;
    let now = clock.now();
    match sent {
        Some(Ok(())) => {
            traffic.record(message.kind, "sent", message.bytes.len(), now);
            log_slow_message(to, message, started_at, now);
        }
        Some(Err(_)) => report_failure(traffic, to, message, "broken", now),
        None => report_failure(traffic, to, message, "timed-out", now),
    }
}

/// Counts a message that was not sent, and logs it unless it is a digest, which is repeated anyway.
fn report_failure(
    traffic: &TrafficMeter,
    to: SocketAddr,
    message: &QueuedMessage,
    result: &'static str,
    now: ClockTime,
) {
    let QueuedMessage { kind, bytes, .. } = message;
    traffic.record(kind, result, bytes.len(), now);
    let waited_ms = now.since(message.queued_at).as_millis() as u64;
    if *kind == PeerMessage::DIGEST_KIND {
        log::debug!(node:% = to, kind, result, waited_ms; "message to node not sent");
    } else {
        log::info!(node:% = to, kind, result, bytes = bytes.len(), waited_ms; "message to node not sent");
    }
}

/// Logs a message that took long.
fn log_slow_message(
    to: SocketAddr,
    message: &QueuedMessage,
    started_at: ClockTime,
    now: ClockTime,
) {
    let QueuedMessage {
        kind,
        bytes,
        queued_at,
    } = message;
    if now.since(*queued_at) >= SLOW_MESSAGE {
        let queued_ms = started_at.since(*queued_at).as_millis() as u64;
        let lasted_ms = now.since(started_at).as_millis() as u64;
        log::info!(node:% = to, kind, bytes = bytes.len(), queued_ms, lasted_ms; "message to node was slow");
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
