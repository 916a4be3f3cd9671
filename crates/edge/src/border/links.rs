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
use outbox::commands::{charge, discard, queue, suspend, take_next};
use outbox::queries::{has_waiting, next_receivers, waiting};
use outbox::{DiscardReason, MessageKind, OutboxSettings, OutboxState, SendStep, WaitingMessage};

use super::ports::PlatformStore;
use super::traffic::TrafficMeter;
use super::wire::{decode_message, encode_message, encoded_size};
use crate::{EdgeEvent, PeerMessage, transfer_timeout};

/// Timeout of a connection attempt: ten round trips between regions.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Timeout of writing a message.
const SEND_TIMEOUT: Duration = Duration::from_millis(600);
/// Delay after a failed connection attempt; it is short because nodes that start together
/// must reach each other soon.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);
/// Time after which a message to a node that isn't reached is dropped.
const UNREACHABLE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time without a message after which a connection is dropped; digests arrive at least
/// every 400 ms.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(3);
/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Time in the queue or on the way from which a message is logged as slow.
const SLOW_MESSAGE: Duration = Duration::from_millis(300);

/// Connections to other nodes.
///
/// Configurations have a connection each, as digests and targets would wait behind a large one.
pub(super) struct PeerLinks {
    shared: Rc<LinkContext>,
    links: RefCell<HashMap<SocketAddr, PeerLink>>,
    events: UnboundedSender<EdgeEvent>,
    /// Latest configuration that was sent, and its encoded form.
    encoded_config: RefCell<Option<(Arc<str>, Bytes)>>,
}

/// What all connections share.
struct LinkContext {
    clock: Rc<dyn ClockSource>,
    outbox: RefCell<OutboxState<PeerMessage>>,
    /// Signals that make a connection ask for its next message.
    wakers: RefCell<HashMap<SocketAddr, Sender<()>>>,
    traffic: TrafficMeter,
}

/// Encoded message.
struct EncodedMessage {
    kind: &'static str,
    bytes: Bytes,
    queued_at: ClockTime,
}

/// Connection to one node.
struct PeerLink {
    /// Set to open a new connection before the next message.
    is_outdated: Rc<Cell<bool>>,
}

impl PeerLinks {
    /// Creates the connections of a node whose link carries this many bytes a second.
    pub fn new(
        clock: Rc<dyn ClockSource>,
        metrics: Rc<dyn MetricSink>,
        events: UnboundedSender<EdgeEvent>,
        link_rate: u64,
    ) -> Self {
        let settings = OutboxSettings::for_link(link_rate);
        let shared = LinkContext {
            traffic: TrafficMeter::new(metrics, clock.now()),
            clock,
            outbox: RefCell::new(OutboxState::new(settings)),
            wakers: RefCell::default(),
        };
        Self {
            shared: Rc::new(shared),
            links: RefCell::default(),
            events,
            encoded_config: RefCell::default(),
        }
    }

    /// Encodes a configuration, once for all nodes that lack it.
    fn encode_config(&self, message: &PeerMessage, text: &Arc<str>, now: ClockTime) -> Bytes {
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

    /// Queues a message for a node. The end of the transfer of a configuration is an event.
    pub fn send(&self, to: SocketAddr, message: PeerMessage) {
        let now = self.shared.clock.now();
        let kind = match &message {
            PeerMessage::RoutingConfig(_, text) => {
                let message = EncodedMessage {
                    kind: message.kind(),
                    bytes: self.encode_config(&message, text, now),
                    queued_at: now,
                };
                let (shared, events) = (self.shared.clone(), self.events.clone());
                monoio::spawn(async move {
                    transfer(to, &message, &shared).await;
                    // The event loop ends only when the process is about to exit.
                    let _ = events.unbounded_send(EdgeEvent::Transferred(to));
                });
                return;
            }
            PeerMessage::Digest(_) => MessageKind::Digest,
            PeerMessage::Targets(..) => MessageKind::Targets,
            PeerMessage::Record(..) => MessageKind::Record,
            PeerMessage::Crashes(_) => MessageKind::Evidence,
        };
        self.shared.queue(to, kind, message, now);
        let mut links = self.links.borrow_mut();
        links.entry(to).or_insert_with(|| {
            let (waker, woken) = channel(0);
            self.shared.wakers.borrow_mut().insert(to, waker);
            let is_outdated = Rc::<Cell<bool>>::default();
            let task = send_messages(to, woken, is_outdated.clone(), self.shared.clone());
            monoio::spawn(task);
            PeerLink { is_outdated }
        });
        self.shared.wake(to);
    }

    /// Sends the next message to a node on a new connection.
    pub fn reconnect(&self, to: SocketAddr) {
        if let Some(link) = self.links.borrow().get(&to) {
            link.is_outdated.set(true);
        }
    }
}

impl LinkContext {
    fn queue(&self, to: SocketAddr, kind: MessageKind, mut message: PeerMessage, now: ClockTime) {
        let mut outbox = self.outbox.borrow_mut();
        if let PeerMessage::Digest(digest) = &mut message
            && let Some(PeerMessage::Digest(older)) = waiting(&outbox, to, kind)
        {
            digest.add_reports(older);
        }
        let byte_count = match kind {
            MessageKind::Evidence => encoded_size(&message, now),
            _ => 0,
        };
        let discarded = queue(&mut outbox, to, kind, message, byte_count, now);
        drop(outbox);
        for message in discarded {
            match message.reason {
                DiscardReason::Replaced => {
                    self.traffic.record_replaced(message.waiting.message.kind())
                }
                DiscardReason::Full => self.report_unsent(to, &message.waiting, "dropped", now),
            }
        }
    }

    /// Makes a connection ask for its next message.
    fn wake(&self, to: SocketAddr) {
        if let Some(waker) = self.wakers.borrow_mut().get_mut(&to) {
            // A signal that waits already is enough.
            let _ = waker.try_send(());
        }
    }

    /// Wakes the connections whose turn it is after another one has taken a message.
    fn wake_next(&self) {
        let next: Vec<_> = next_receivers(&self.outbox.borrow()).collect();
        next.into_iter().for_each(|to| self.wake(to));
    }

    fn next_step(&self, to: SocketAddr) -> SendStep<PeerMessage> {
        take_next(&mut self.outbox.borrow_mut(), to, self.clock.now())
    }

    /// Encodes a message that is sent now, and charges it.
    fn encode(&self, waiting: &WaitingMessage<PeerMessage>) -> EncodedMessage {
        let now = self.clock.now();
        let bytes = Bytes::from(encode_message(&waiting.message, now));
        charge(
            &mut self.outbox.borrow_mut(),
            waiting.kind,
            bytes.len(),
            now,
        );
        let kind = waiting.message.kind();
        if let Some(since) = waiting.delayed_since {
            self.traffic.record_delay(kind, now.since(since));
        }
        EncodedMessage {
            kind,
            bytes,
            queued_at: waiting.queued_at,
        }
    }

    /// Opens a connection to a node; if that fails, drops what is not worth keeping.
    async fn connect(&self, to: SocketAddr) -> Option<FrameStream> {
        suspend(&mut self.outbox.borrow_mut(), to);
        self.wake_next();
        let clock = self.clock.as_ref();
        let connect = FrameStream::connect(to);
        if let Some(Ok(stream)) = with_deadline(clock, clock.now() + CONNECT_TIMEOUT, connect).await
        {
            return Some(stream);
        }
        let now = clock.now();
        let queued_before = now.before(UNREACHABLE_TIMEOUT);
        let discarded = discard(&mut self.outbox.borrow_mut(), to, queued_before);
        for waiting in &discarded {
            self.report_unsent(to, waiting, "unreachable", now);
        }
        sleep_until(clock, now + RECONNECT_DELAY).await;
        None
    }

    fn report_unsent(
        &self,
        to: SocketAddr,
        waiting: &WaitingMessage<PeerMessage>,
        result: &'static str,
        now: ClockTime,
    ) {
        let message = EncodedMessage {
            kind: waiting.message.kind(),
            bytes: encode_message(&waiting.message, now).into(),
            queued_at: waiting.queued_at,
        };
        report_failure(&self.traffic, to, &message, result, now);
    }
}

/// Sends the messages that wait for one node and reconnects after failures.
async fn send_messages(
    to: SocketAddr,
    mut woken: Receiver<()>,
    is_outdated: Rc<Cell<bool>>,
    shared: Rc<LinkContext>,
) {
    let clock = shared.clock.as_ref();
    let mut stream: Option<FrameStream> = None;
    loop {
        if !has_waiting(&shared.outbox.borrow(), to) {
            if woken.next().await.is_none() {
                return;
            }
            continue;
        }
        if is_outdated.take() {
            stream = None;
        }
        let Some(connection) = &mut stream else {
            stream = shared.connect(to).await;
            continue;
        };
        let message = match shared.next_step(to) {
            SendStep::Send(waiting) => shared.encode(&waiting),
            SendStep::WaitUntil(due) => {
                with_deadline(clock, due, woken.next()).await;
                continue;
            }
            SendStep::Wait => {
                woken.next().await;
                continue;
            }
        };
        shared.wake_next();
        let started_at = clock.now();
        let send = connection.send(message.bytes.clone());
        let sent = with_deadline(clock, started_at + SEND_TIMEOUT, send).await;
        let now = clock.now();
        match sent {
            Some(Ok(())) => {
                let traffic = &shared.traffic;
                traffic.record(message.kind, "sent", message.bytes.len(), now);
                log_slow_message(to, &message, started_at, now);
            }
            Some(Err(_)) => {
                report_failure(&shared.traffic, to, &message, "broken", now);
                stream = None;
            }
            None => {
                report_failure(&shared.traffic, to, &message, "timed-out", now);
                stream = None;
            }
        }
    }
}

/// Sends a message on a connection of its own.
async fn transfer(to: SocketAddr, message: &EncodedMessage, shared: &LinkContext) {
    let (clock, traffic) = (shared.clock.as_ref(), &shared.traffic);
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
    message: &EncodedMessage,
    result: &'static str,
    now: ClockTime,
) {
    let EncodedMessage { kind, bytes, .. } = message;
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
    message: &EncodedMessage,
    started_at: ClockTime,
    now: ClockTime,
) {
    let EncodedMessage {
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
