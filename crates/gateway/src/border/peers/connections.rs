//! Connections to and from peers, one task for each.

use std::cell::Cell;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::pin::pin;
use std::rc::Rc;

use base::prelude::*;
use bytes::Bytes;
use futures_channel::mpsc::{Receiver, UnboundedSender};
use futures_util::StreamExt;
use futures_util::future::{Either, select};
use members::wire::decode_frame;
use monoio::net::TcpListener;
use net::{FrameStream, sleep_until, with_deadline};

use crate::{GatewayEvent, PeerEvent};

/// Timeout of connecting to a peer and of writing a frame.
const SEND_TIMEOUT: Duration = Duration::from_secs(2);
/// Time without frames after which the sender closes its connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time without frames after which the receiver closes a connection.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(15);
/// Delay before the next accept after a failed one.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Largest number of open connections from peers.
const MAX_CONNECTIONS: usize = 256;

/// Accepts connections from peers until the event loop has ended.
pub async fn accept_connections(
    listener: TcpListener,
    clock: Rc<dyn ClockSource>,
    events: UnboundedSender<GatewayEvent>,
) {
    let open = Rc::new(Cell::new(0));
    while !events.is_closed() {
        let (stream, source) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!("connection from a peer cannot be accepted: {error}");
                sleep_until(clock.as_ref(), clock.now() + ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        if open.get() >= MAX_CONNECTIONS {
            log::warn!(source:% = source; "too many connections from peers: closing the new one");
            continue;
        }
        let Ok(stream) = FrameStream::new(stream) else {
            continue;
        };
        open.set(open.get() + 1);
        let (clock, events, open) = (clock.clone(), events.clone(), open.clone());
        monoio::spawn(async move {
            receive_frames(stream, source.ip(), clock.as_ref(), &events).await;
            open.set(open.get() - 1);
        });
    }
}

/// Receives frames until the connection is idle for too long or fails, or its
/// sender changes its name.
async fn receive_frames(
    mut stream: FrameStream,
    source: IpAddr,
    clock: &dyn ClockSource,
    events: &UnboundedSender<GatewayEvent>,
) {
    let mut sender: Option<NodeName> = None;
    loop {
        let deadline = clock.now() + RECEIVE_TIMEOUT;
        let Some(Ok(Some(bytes))) = with_deadline(clock, deadline, stream.receive()).await else {
            return;
        };
        let frame = match decode_frame(&bytes) {
            Ok(frame) => frame,
            Err(error) => {
                log::warn!(source:% = source; "{error}");
                return;
            }
        };
        if *sender.get_or_insert_with(|| frame.from.clone()) != frame.from {
            log::warn!(source:% = source; "peer changed its node name: closing its connection");
            return;
        }
        let event = GatewayEvent::Peer(PeerEvent::Frame { source, frame });
        if events.unbounded_send(event).is_err() {
            return;
        }
    }
}

/// Sends frames to one peer until none have been queued for the idle timeout, the
/// peer closes the connection, or a write fails or times out.
pub async fn send_frames(
    to: SocketAddr,
    mut frames: Receiver<Bytes>,
    clock: Rc<dyn ClockSource>,
) -> io::Result<()> {
    let clock = clock.as_ref();
    let connect = with_deadline(clock, clock.now() + SEND_TIMEOUT, FrameStream::connect(to)).await;
    let mut stream = connect.ok_or(io::ErrorKind::TimedOut)??;
    loop {
        let deadline = clock.now() + IDLE_TIMEOUT;
        let next = next_frame(&mut frames, &mut stream);
        let Some(Some(frame)) = with_deadline(clock, deadline, next).await else {
            return Ok(());
        };
        let sent = with_deadline(clock, clock.now() + SEND_TIMEOUT, stream.send(frame)).await;
        sent.ok_or(io::ErrorKind::TimedOut)??;
    }
}

/// Next frame to send; `None` once the queue or the connection was closed.
async fn next_frame(frames: &mut Receiver<Bytes>, stream: &mut FrameStream) -> Option<Bytes> {
    let closed = pin!(stream.receive());
    match select(frames.next(), closed).await {
        Either::Left((frame, _)) => frame,
        Either::Right(_) => None,
    }
}
