//! Loopback proxies that spoil connections.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use monoio::io::{AsyncReadRent, AsyncWriteRentExt, Splitable};
use monoio::net::{TcpListener, TcpStream};

use crate::plan::LinkMode;

/// Bytes read at once.
const BUFFER_BYTES: usize = 16 * 1_024;
/// Pause between two looks at a link that swallows or has been reset.
const LOOK_PERIOD: Duration = Duration::from_millis(10);

/// Proxy whose treatment of connections can be changed while they are open.
pub(crate) struct LinkProxy {
    /// Where to connect to.
    pub address: SocketAddr,
    /// How connections are treated.
    pub mode: Rc<Cell<LinkMode>>,
    /// Where connections go on to.
    pub target: Rc<Cell<SocketAddr>>,
}

impl LinkProxy {
    /// Proxy on a free port of an address.
    pub fn open(at: SocketAddr, target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(at)?;
        let proxy = Self {
            address: listener.local_addr()?,
            mode: Rc::new(Cell::new(LinkMode::Open)),
            target: Rc::new(Cell::new(target)),
        };
        let (mode, target) = (proxy.mode.clone(), proxy.target.clone());
        monoio::spawn(async move {
            while let Ok((inner, _)) = listener.accept().await {
                monoio::spawn(join(inner, target.get(), mode.clone()));
            }
        });
        Ok(proxy)
    }
}

/// Joins a connection with one to the target until either end is gone.
async fn join(inner: TcpStream, target: SocketAddr, mode: Rc<Cell<LinkMode>>) {
    while mode.get() == LinkMode::Silent {
        monoio::time::sleep(LOOK_PERIOD).await;
    }
    if mode.get() == LinkMode::Reset {
        return;
    }
    let Ok(outer) = TcpStream::connect(target).await else {
        // The target is gone: the caller sees its connection closed.
        return;
    };
    // Without this, small messages would wait for one another; a socket that refuses still works.
    let _ = (inner.set_nodelay(true), outer.set_nodelay(true));
    let (inner_read, inner_write) = inner.into_split();
    let (outer_read, outer_write) = outer.into_split();
    let ends = futures_util::future::select(
        Box::pin(copy(inner_read, outer_write, mode.clone(), true)),
        Box::pin(copy(outer_read, inner_write, mode.clone(), false)),
    );
    let reset = async {
        while mode.get() != LinkMode::Reset {
            monoio::time::sleep(LOOK_PERIOD).await;
        }
    };
    futures_util::future::select(ends, Box::pin(reset)).await;
}

async fn copy<R: AsyncReadRent, W: AsyncWriteRentExt>(
    mut from: R,
    mut to: W,
    mode: Rc<Cell<LinkMode>>,
    is_forward: bool,
) {
    let mut buffer = Vec::with_capacity(BUFFER_BYTES);
    // Bytes that were swallowed are lost for good, so nothing may follow them.
    let mut has_lost = false;
    loop {
        buffer.clear();
        let (read, bytes) = from.read(buffer).await;
        if !matches!(read, Ok(count) if count > 0) {
            return;
        }
        match mode.get() {
            LinkMode::Open => {}
            LinkMode::Delayed(span) => monoio::time::sleep(span).await,
            LinkMode::Silent => has_lost = true,
            LinkMode::OneWay => has_lost |= is_forward,
            LinkMode::Reset => return,
        }
        if has_lost {
            buffer = bytes;
            continue;
        }
        let (written, bytes) = to.write_all(bytes).await;
        if written.is_err() {
            return;
        }
        buffer = bytes;
    }
}
