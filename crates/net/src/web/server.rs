//! Accepts connections and hands their requests to a service.

use std::cell::Cell;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;

use bytes::Bytes;
use futures_util::future::{Either, LocalBoxFuture, select};
use http::header::{CONNECTION, TRANSFER_ENCODING};
use http::{HeaderValue, Request};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use monoio::io::IntoPollIo;
use monoio::net::{ListenerOpts, TcpListener, TcpStream};
use monoio_compat::hyper::{MonoioIo, MonoioTimer};

use super::{WebLimits, WebResponse};
use crate::DrainWatch;

/// Pause after a failed accept, so that a full file table does not spin.
const ACCEPT_PAUSE: std::time::Duration = std::time::Duration::from_millis(20);

/// Answers requests.
pub trait WebService {
    /// Answers one request.
    fn answer(&self, request: Request<Incoming>) -> LocalBoxFuture<'static, WebResponse>;
}

/// Listener on an address; port zero lets the kernel choose.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let options = ListenerOpts::new().reuse_port(false);
    TcpListener::bind_with_config(address, &options)
}

/// Serves until the drain starts, then until the last connection is done.
pub async fn serve(
    listener: TcpListener,
    service: Rc<dyn WebService>,
    limits: WebLimits,
    drain: DrainWatch,
) {
    let open = Rc::new(Cell::new(0_usize));
    let mut connections = Vec::new();
    while let Some(accepted) = accept(&listener, &drain).await {
        connections.retain(|task: &monoio::task::JoinHandle<()>| !task.is_finished());
        let Ok(stream) = accepted else {
            monoio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        if open.get() >= limits.connections {
            drop(stream);
            continue;
        }
        let slot = ConnectionSlot::new(open.clone());
        let connection = serve_connection(stream, service.clone(), limits, drain.clone(), slot);
        connections.push(monoio::spawn(connection));
    }
    drop(listener);
    for connection in connections {
        connection.await;
    }
}

/// Count of one open connection, given back when it ends.
struct ConnectionSlot(Rc<Cell<usize>>);

impl ConnectionSlot {
    fn new(open: Rc<Cell<usize>>) -> Self {
        open.set(open.get() + 1);
        Self(open)
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

async fn accept(listener: &TcpListener, drain: &DrainWatch) -> Option<io::Result<TcpStream>> {
    match select(pin!(listener.accept()), pin!(drain.started())).await {
        Either::Left((accepted, _)) => Some(accepted.map(|(stream, _)| stream)),
        Either::Right(_) => None,
    }
}

async fn serve_connection(
    stream: TcpStream,
    service: Rc<dyn WebService>,
    limits: WebLimits,
    drain: DrainWatch,
    _slot: ConnectionSlot,
) {
    // Without this a token can wait for the acknowledgement of the one before.
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let Ok(io) = stream.into_poll_io() else {
        return;
    };
    let answer = service_fn(move |request| {
        let reply = answer_once(service.clone(), request);
        async move { Ok::<_, Infallible>(reply.await) }
    });
    let connection = http1::Builder::new()
        .timer(MonoioTimer)
        .header_read_timeout(limits.header_timeout)
        .max_buf_size(limits.header_bytes.max(MIN_BUFFER_BYTES))
        .max_headers(limits.headers)
        .serve_connection(MonoioIo::new(io), answer);
    let mut connection = pin!(connection);
    let started = pin!(drain.started());
    // A connection's error is the client's to see; nothing is left to do here.
    match select(connection.as_mut(), started).await {
        Either::Left(_) => {}
        Either::Right(_) => {
            connection.as_mut().graceful_shutdown();
            let _ = connection.await;
        }
    }
}

/// Answers one request; after a body of chunks nothing more is read.
///
/// The HTTP library takes chunks for the length where a request gives both. A
/// proxy before us may have taken the other one, and what is left over of its
/// bytes could then pass for a request of its own.
async fn answer_once(service: Rc<dyn WebService>, request: Request<Incoming>) -> WebResponse {
    let chunked = request.headers().contains_key(TRANSFER_ENCODING);
    let mut reply = service.answer(request).await;
    if chunked {
        let close = HeaderValue::from_static("close");
        reply.headers_mut().insert(CONNECTION, close);
    }
    reply
}

/// Smallest buffer that the HTTP library takes.
const MIN_BUFFER_BYTES: usize = 8_192;

/// Why a request's body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReceiveError {
    /// The body is larger than the limit.
    #[error("the body is too large: send at most {limit} bytes")]
    TooLarge {
        /// Limit in bytes.
        limit: usize,
    },
    /// The body did not arrive in time.
    #[error("the body did not arrive within {seconds} s: send it faster or in smaller requests")]
    TooSlow {
        /// Limit in seconds.
        seconds: u64,
    },
    /// The connection broke.
    #[error("the connection broke before the end of the body")]
    Broken,
}

/// Reads a request's body whole, within the limits.
pub async fn receive_body(body: Incoming, limits: &WebLimits) -> Result<Bytes, ReceiveError> {
    let limited = Limited::new(body, limits.body_bytes).collect();
    match monoio::time::timeout(limits.body_timeout, limited).await {
        Err(_) => Err(ReceiveError::TooSlow {
            seconds: limits.body_timeout.as_secs(),
        }),
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(fault)) if fault.is::<LengthLimitError>() => Err(ReceiveError::TooLarge {
            limit: limits.body_bytes,
        }),
        Ok(Err(_)) => Err(ReceiveError::Broken),
    }
}
