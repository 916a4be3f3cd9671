//! Loopback TCP proxies that delay, drop or reset connections.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use monoio::io::{AsyncReadRent, AsyncWriteRentExt, Splitable};
use monoio::net::{TcpListener, TcpStream};

use crate::plan::{EndlessForm, LinkMode};

/// Size of a read buffer.
const BUFFER_BYTES: usize = 16 * 1_024;
/// Interval between two checks of the mode of a link.
const MODE_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Observer of the connections through a proxy.
pub(crate) trait LinkTap {
    /// A connection of a client with this address was forwarded.
    fn open(&self, peer: SocketAddr) -> Box<dyn ConnectionTap>;
}

/// What to do with a connection next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum LinkStep {
    /// Bytes are sent on.
    Send(Vec<u8>),
    /// Nothing is sent for this long.
    Wait(Duration),
    /// Both sides are closed.
    Close,
}

/// Observer of one connection.
pub(crate) trait ConnectionTap {
    /// Bytes of the client have arrived; returns what to do towards the target.
    fn forwarded(&self, bytes: Vec<u8>) -> Vec<LinkStep>;

    /// Bytes of the target have arrived; returns what to do towards the client.
    fn answered(&self, bytes: Vec<u8>) -> Vec<LinkStep>;
}

/// Proxy whose mode can be changed while connections are open.
pub(crate) struct LinkProxy {
    /// Address on which the proxy accepts connections.
    pub address: SocketAddr,
    /// Mode, for open and new connections.
    pub mode: Rc<Cell<LinkMode>>,
    /// Address to which new connections are forwarded.
    pub target: Rc<Cell<SocketAddr>>,
    /// Number of times that the open connections were made to hang.
    hangs: Rc<Cell<u64>>,
}

impl LinkProxy {
    /// Listens on an address and forwards connections to the target.
    pub fn listen(address: SocketAddr, target: SocketAddr) -> io::Result<Self> {
        Self::listen_with_tap(address, target, None)
    }

    /// The same with an observer of its connections.
    pub fn listen_with_tap(
        address: SocketAddr,
        target: SocketAddr,
        tap: Option<Rc<dyn LinkTap>>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let proxy = Self {
            address: listener.local_addr()?,
            mode: Rc::new(Cell::new(LinkMode::Open)),
            target: Rc::new(Cell::new(target)),
            hangs: Rc::default(),
        };
        let (mode, target) = (proxy.mode.clone(), proxy.target.clone());
        let hangs = proxy.hangs.clone();
        net::spawn(async move {
            while let Ok((client, peer)) = listener.accept().await {
                let state = LinkState {
                    mode: mode.clone(),
                    hangs: hangs.clone(),
                    accepted_at: hangs.get(),
                    tap: tap.as_ref().map(|tap| Rc::from(tap.open(peer))),
                };
                net::spawn(forward(client, target.get(), state));
            }
        });
        Ok(proxy)
    }

    /// Makes all open connections go silent for good, without a reset.
    pub fn hang_connections(&self) {
        self.hangs.set(self.hangs.get() + 1);
    }
}

/// State of a link as one of its connections sees it.
#[derive(Clone)]
struct LinkState {
    mode: Rc<Cell<LinkMode>>,
    hangs: Rc<Cell<u64>>,
    /// Value of `hangs` when the connection was accepted.
    accepted_at: u64,
    tap: Option<Rc<dyn ConnectionTap>>,
}

impl LinkState {
    /// Whether the connection has gone silent for good.
    fn is_hung(&self) -> bool {
        self.hangs.get() != self.accepted_at
    }
}

/// Forwards a connection to the target until either side closes it or the link is reset.
async fn forward(client: TcpStream, target: SocketAddr, state: LinkState) {
    let mode = state.mode.clone();
    while mode.get() == LinkMode::Blackhole {
        monoio::time::sleep(MODE_POLL_INTERVAL).await;
    }
    if matches!(mode.get(), LinkMode::Reset | LinkMode::RefuseNew) {
        return;
    }
    let Ok(server) = TcpStream::connect(target).await else {
        // The target does not accept connections: closes the one of the client.
        return;
    };
    // Nagle's algorithm would delay small messages; a socket that refuses the option still works.
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let copies = futures_util::future::select(
        Box::pin(copy(client_read, server_write, state.clone(), true)),
        Box::pin(copy(server_read, client_write, state, false)),
    );
    let reset = async {
        while mode.get() != LinkMode::Reset {
            monoio::time::sleep(MODE_POLL_INTERVAL).await;
        }
    };
    futures_util::future::select(copies, Box::pin(reset)).await;
}

async fn copy<R: AsyncReadRent, W: AsyncWriteRentExt>(
    mut from: R,
    mut to: W,
    state: LinkState,
    is_forward: bool,
) {
    let mut buffer = Vec::with_capacity(BUFFER_BYTES);
    // Once bytes were dropped, none may follow: a TCP stream has no gaps.
    let mut has_dropped = false;
    loop {
        buffer.clear();
        let (read, bytes) = from.read(buffer).await;
        if !matches!(read, Ok(count) if count > 0) {
            if state.is_hung() {
                // Neither end learns that the other one has closed the connection.
                std::future::pending::<()>().await;
            }
            return;
        }
        has_dropped |= state.is_hung();
        match state.mode.get() {
            LinkMode::Open | LinkMode::RefuseNew => {}
            LinkMode::Endless(form) if !is_forward => {
                flood(&mut to, bytes, form, &state).await;
                return;
            }
            LinkMode::Endless(_) => {}
            LinkMode::Delayed(delay) => monoio::time::sleep(delay).await,
            LinkMode::Blackhole => has_dropped = true,
            LinkMode::OneWay => has_dropped |= is_forward,
            LinkMode::Reset => return,
        }
        if has_dropped {
            buffer = bytes;
            continue;
        }
        let steps = match &state.tap {
            Some(tap) if is_forward => tap.forwarded(bytes),
            Some(tap) => tap.answered(bytes),
            None => vec![LinkStep::Send(bytes)],
        };
        buffer = Vec::new();
        for step in steps {
            match step {
                LinkStep::Send(bytes) => {
                    let (written, bytes) = to.write_all(bytes).await;
                    if written.is_err() {
                        return;
                    }
                    buffer = bytes;
                }
                LinkStep::Wait(duration) => monoio::time::sleep(duration).await,
                LinkStep::Close => return,
            }
        }
        buffer.reserve(BUFFER_BYTES);
    }
}

/// Writes bytes without end around the beginning of an answer, until the client closes or the
/// fault ends.
async fn flood<W: AsyncWriteRentExt>(
    to: &mut W,
    answer: Vec<u8>,
    form: EndlessForm,
    state: &LinkState,
) {
    let (start, pattern) = match form {
        EndlessForm::InterimResponses => (Vec::new(), "HTTP/1.1 100 Continue\r\n\r\n"),
        EndlessForm::Header => (b"HTTP/1.1 200 OK\r\n".to_vec(), "a: b\r\n"),
        EndlessForm::ChunkSize => (answer, "0"),
        EndlessForm::EventLine => (answer, "6\r\ndata: \r\n"),
    };
    let mut bytes = pattern.repeat(BUFFER_BYTES / pattern.len()).into_bytes();
    let (mut result, _) = to.write_all(start).await;
    while result.is_ok() && state.mode.get() == LinkMode::Endless(form) {
        (result, bytes) = to.write_all(bytes).await;
    }
}
