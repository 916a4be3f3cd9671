//! HTTP server: accepts connections and passes their requests to a service.

use std::cell::Cell;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;

use bytes::Bytes;
use exchange::HeldRequest;
use futures_util::future::{Either, LocalBoxFuture, select};
use http::header::{CONNECTION, TRANSFER_ENCODING};
use http::{HeaderValue, Request};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use monoio::net::{ListenerOpts, TcpListener, TcpStream};
use monoio_compat::hyper::{MonoioIo, MonoioTimer};

use super::body::{CollectError, RequestBody, collect_body};
use super::held::{UnreadRequest, WholeRequest, drop_request};
use super::limits::MAX_PENDING_BYTES;
use super::{WebLimits, WebResponse};
use crate::DrainWatch;
use crate::paced::{PacedStream, ReadMeter};

/// Delay after a failed accept; without it, running out of file descriptors would
/// cause a busy loop.
const ACCEPT_RETRY_DELAY: std::time::Duration = std::time::Duration::from_millis(20);

/// Handler of HTTP requests.
pub trait WebService {
    /// Produces the response to one request.
    fn answer(&self, request: Request<RequestBody>) -> LocalBoxFuture<'static, WebResponse>;
}

/// Binds a listener; the kernel chooses the port if it is zero.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let options = ListenerOpts::new().reuse_port(false);
    TcpListener::bind_with_config(address, &options)
}

/// Accepts connections until the drain starts, then waits for the open ones to end.
pub async fn serve(
    listener: TcpListener,
    service: Rc<dyn WebService>,
    limits: WebLimits,
    drain: DrainWatch,
) {
    let open = Rc::new(Cell::new(0_usize));
    let mut connections = Vec::new();
    while let Some(accepted) = accept(&listener, &drain).await {
        connections.retain(|task: &monoio::task::JoinHandle<Option<()>>| !task.is_finished());
        let Ok(stream) = accepted else {
            monoio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        if open.get() >= limits.connections {
            drop(stream);
            continue;
        }
        let slot = ConnectionSlot::new(open.clone());
        let connection = serve_connection(stream, service.clone(), limits, drain.clone(), slot);
        connections.push(crate::spawn(connection));
    }
    drop(listener);
    for connection in connections {
        let _ = connection.await;
    }
}

/// Entry in the count of open connections, removed when it is dropped.
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
    // Without this, Nagle's algorithm can hold a token back until the one before
    // is acknowledged.
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let meter = ReadMeter::new(MAX_PENDING_BYTES);
    let Ok(io) = PacedStream::new(stream, meter.clone()) else {
        return;
    };
    let handler = service_fn(move |request: Request<Incoming>| {
        meter.record_progress();
        let request = request.map(|body| RequestBody::new(body, meter.clone()));
        let response = handle_request(service.clone(), request);
        async move { Ok::<_, Infallible>(response.await) }
    });
    let connection = http1::Builder::new()
        .timer(MonoioTimer)
        .header_read_timeout(limits.header_timeout)
        .max_buf_size(limits.header_bytes.max(MIN_BUFFER_BYTES))
        .max_headers(limits.headers)
        .serve_connection(MonoioIo::new(io), handler);
    let mut connection = pin!(connection);
    let started = pin!(drain.started());
    // Errors of a connection need no handling here: the client sees them too.
    match select(connection.as_mut(), started).await {
        Either::Left(_) => {}
        Either::Right(_) => {
            connection.as_mut().graceful_shutdown();
            let _ = connection.await;
        }
    }
}

/// Handles one request; closes the connection after a chunked request body.
///
/// If a request has both a chunked body and a content length, the HTTP library
/// uses the chunks. A proxy in front may use the length instead, and the bytes
/// that remain could then be read as another request (request smuggling).
async fn handle_request(service: Rc<dyn WebService>, request: Request<RequestBody>) -> WebResponse {
    let is_chunked = request.headers().contains_key(TRANSFER_ENCODING);
    let mut response = service.answer(request).await;
    if is_chunked {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

/// Minimum buffer size that the HTTP library accepts.
const MIN_BUFFER_BYTES: usize = 8_192;

/// Error while reading a request's body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReceiveError {
    /// The body exceeds the size limit.
    #[error("the body is too large: send at most {limit} bytes")]
    TooLarge {
        /// Size limit in bytes.
        limit: usize,
    },
    /// The body was not received within the time limit.
    #[error("the body did not arrive within {seconds} s: send it faster or in smaller requests")]
    TooSlow {
        /// Time limit in seconds.
        seconds: u64,
    },
    /// The buffers of all connections are full.
    #[error("this node has no memory for the body: try again later")]
    NoMemory,
    /// The connection failed.
    #[error("the connection broke before the end of the body")]
    Broken,
}

/// Reads a client's request to its end, and holds it.
pub async fn receive_request(
    request: Request<RequestBody>,
    limits: &WebLimits,
) -> Result<HeldRequest<WholeRequest>, UnreadRequest> {
    let (parts, body) = request.into_parts();
    match receive_body(body, limits).await {
        Ok(body) => Ok(HeldRequest::new(WholeRequest { parts, body })),
        Err(error) => Err(UnreadRequest {
            error,
            proof: drop_request(Request::from_parts(parts, ())),
        }),
    }
}

/// Reads a request's complete body, within the limits for size and time.
pub async fn receive_body(
    mut body: RequestBody,
    limits: &WebLimits,
) -> Result<Bytes, ReceiveError> {
    let collected = collect_body(&mut body, limits.body_bytes);
    match monoio::time::timeout(limits.body_timeout, collected).await {
        Err(_) => Err(ReceiveError::TooSlow {
            seconds: limits.body_timeout.as_secs(),
        }),
        Ok(Ok(bytes)) => Ok(bytes),
        Ok(Err(CollectError::TooLarge)) => Err(ReceiveError::TooLarge {
            limit: limits.body_bytes,
        }),
        Ok(Err(CollectError::NoMemory)) => Err(ReceiveError::NoMemory),
        Ok(Err(CollectError::Broken)) => Err(ReceiveError::Broken),
    }
}
