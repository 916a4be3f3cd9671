//! Connections that carry frames, one task each.

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

/// Time in which a connection must be made, or a frame be written.
const SEND_SPAN: Duration = Duration::from_secs(2);
/// Silence after which the sender closes its connection.
const IDLE_SPAN: Duration = Duration::from_secs(10);
/// Silence after which the receiver takes the sender for gone.
const SILENCE_SPAN: Duration = Duration::from_secs(15);
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);
/// Connections of peers open at once.
const LINK_LIMIT: usize = 256;

/// Accepts connections of peers until the loop has ended.
pub async fn receive_links(
    listener: TcpListener,
    clock: Rc<dyn ClockSource>,
    events: UnboundedSender<GatewayEvent>,
) {
    let open = Rc::new(Cell::new(0));
    while !events.is_closed() {
        let (stream, source) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(fault) => {
                log::warn!("a peer's connection cannot be accepted: {fault}");
                sleep_until(clock.as_ref(), clock.now() + ACCEPT_PAUSE).await;
                continue;
            }
        };
        if open.get() >= LINK_LIMIT {
            log::warn!(source:% = source; "too many connections of peers: closing one");
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

/// Receives frames of one sender until it is silent or says another name.
async fn receive_frames(
    mut stream: FrameStream,
    source: IpAddr,
    clock: &dyn ClockSource,
    events: &UnboundedSender<GatewayEvent>,
) {
    let mut sender: Option<NodeName> = None;
    loop {
        let deadline = clock.now() + SILENCE_SPAN;
        let Some(Ok(Some(bytes))) = with_deadline(clock, deadline, stream.receive()).await else {
            return;
        };
        let frame = match decode_frame(&bytes) {
            Ok(frame) => frame,
            Err(fault) => {
                log::warn!(source:% = source; "{fault}");
                return;
            }
        };
        if *sender.get_or_insert_with(|| frame.from.clone()) != frame.from {
            log::warn!(source:% = source; "a peer changed its name: its connection is closed");
            return;
        }
        let event = GatewayEvent::Peer(PeerEvent::Frame { source, frame });
        if events.unbounded_send(event).is_err() {
            return;
        }
    }
}

/// Sends frames to one peer until none come, it closes, or it takes none.
pub async fn send_frames(
    to: SocketAddr,
    mut frames: Receiver<Bytes>,
    clock: Rc<dyn ClockSource>,
) -> io::Result<()> {
    let clock = clock.as_ref();
    let connect = with_deadline(clock, clock.now() + SEND_SPAN, FrameStream::connect(to)).await;
    let mut stream = connect.ok_or(io::ErrorKind::TimedOut)??;
    loop {
        let deadline = clock.now() + IDLE_SPAN;
        let next = next_frame(&mut frames, &mut stream);
        let Some(Some(frame)) = with_deadline(clock, deadline, next).await else {
            return Ok(());
        };
        let sent = with_deadline(clock, clock.now() + SEND_SPAN, stream.send(frame)).await;
        sent.ok_or(io::ErrorKind::TimedOut)??;
    }
}

/// Next frame to send; none once there is no more or the peer has closed.
async fn next_frame(frames: &mut Receiver<Bytes>, stream: &mut FrameStream) -> Option<Bytes> {
    let closed = pin!(stream.receive());
    match select(frames.next(), closed).await {
        Either::Left((frame, _)) => frame,
        Either::Right(_) => None,
    }
}
