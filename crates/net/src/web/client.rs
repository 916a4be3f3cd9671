//! Calls other servers over kept connections.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use base::prelude::*;
use bytes::Bytes;
use http::header::HOST;
use http::response::Parts;
use http::{HeaderValue, Request};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use monoio::io::IntoPollIo;
use monoio::net::TcpStream;
use monoio_compat::hyper::MonoioIo;

use super::body::WebBody;
use crate::runtime::with_deadline;

/// Connections kept to one server while idle.
const IDLE_LIMIT: usize = 32;
/// Bytes of an answer's line and headers.
const HEADER_LIMIT: usize = 64 * 1_024;

/// Request to another server.
pub type WebRequest = Request<WebBody>;

type Connection = http1::SendRequest<WebBody>;

/// How a call began to end.
#[derive(Debug)]
pub enum CallOutcome {
    /// The headers of the answer are here.
    Response(Box<IncomingResponse>),
    /// No byte of the request was sent.
    NotSent,
    /// The request may have been sent, but no answer came.
    Lost,
}

/// How a call for a whole answer ended.
#[derive(Debug)]
pub enum CollectOutcome {
    /// The whole answer.
    Response(Parts, Bytes),
    /// No byte of the request was sent.
    NotSent,
    /// The request may have been sent, but no whole answer came.
    Lost,
}

/// Client with connections of its own.
#[derive(Clone)]
pub struct WebClient {
    clock: Rc<dyn ClockSource>,
    idle: Rc<RefCell<HashMap<SocketAddr, Vec<Connection>>>>,
    connect_span: Option<Duration>,
}

impl WebClient {
    /// Client without connections.
    pub fn new(clock: Rc<dyn ClockSource>) -> Self {
        Self {
            clock,
            idle: Rc::default(),
            connect_span: None,
        }
    }

    /// Client that gives up a new connection after a span, however late the call's deadline is.
    pub fn with_connect_timeout(mut self, span: Duration) -> Self {
        self.connect_span = Some(span);
        self
    }

    /// Sends a request and waits for the headers of its answer.
    ///
    /// A call that passes its deadline takes its connection with it.
    pub async fn call(
        &self,
        server: SocketAddr,
        request: WebRequest,
        deadline: ClockTime,
    ) -> CallOutcome {
        let mut request = with_host(server, request);
        loop {
            let (connection, kept) = match self.take_idle(server) {
                Some(connection) => (connection, true),
                None => match self.connect(server, deadline).await {
                    Some(connection) => (connection, false),
                    None => return CallOutcome::NotSent,
                },
            };
            match self.send(server, connection, request, deadline).await {
                SendOutcome::Answered(answer) => return CallOutcome::Response(answer),
                SendOutcome::Lost => return CallOutcome::Lost,
                // A kept connection may have been closed by the server meanwhile.
                SendOutcome::Unsent(unsent) if kept => request = *unsent,
                SendOutcome::Unsent(_) => return CallOutcome::NotSent,
            }
        }
    }

    /// Sends a request and waits for its whole answer of bounded size.
    pub async fn collect(
        &self,
        server: SocketAddr,
        request: WebRequest,
        limit: usize,
        deadline: ClockTime,
    ) -> CollectOutcome {
        match self.call(server, request, deadline).await {
            CallOutcome::NotSent => CollectOutcome::NotSent,
            CallOutcome::Lost => CollectOutcome::Lost,
            CallOutcome::Response(answer) => answer.collect(limit, deadline).await,
        }
    }

    fn take_idle(&self, server: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&server)?;
        while let Some(connection) = connections.pop() {
            if connection.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    async fn connect(&self, server: SocketAddr, deadline: ClockTime) -> Option<Connection> {
        let clock = self.clock.as_ref();
        let latest = self.connect_span.map(|span| clock.now() + span);
        let deadline = latest.map_or(deadline, |latest| latest.min(deadline));
        let stream = with_deadline(clock, deadline, TcpStream::connect(server)).await?;
        let stream = stream.ok()?;
        stream.set_nodelay(true).ok()?;
        let io = MonoioIo::new(stream.into_poll_io().ok()?);
        let (connection, driver) = http1::Builder::new()
            .max_buf_size(HEADER_LIMIT)
            .handshake(io)
            .await
            .ok()?;
        monoio::spawn(async move {
            // The error reaches the caller through its request.
            let _ = driver.await;
        });
        Some(connection)
    }

    async fn send(
        &self,
        server: SocketAddr,
        mut connection: Connection,
        request: WebRequest,
        deadline: ClockTime,
    ) -> SendOutcome {
        let sent = connection.try_send_request(request);
        match with_deadline(self.clock.as_ref(), deadline, sent).await {
            None => {
                self.forget(server);
                SendOutcome::Lost
            }
            Some(Ok(response)) => {
                let (parts, body) = response.into_parts();
                SendOutcome::Answered(Box::new(IncomingResponse {
                    parts,
                    body,
                    server,
                    connection,
                    client: self.clone(),
                }))
            }
            Some(Err(mut fault)) => match fault.take_message() {
                Some(unsent) => SendOutcome::Unsent(Box::new(unsent)),
                None => SendOutcome::Lost,
            },
        }
    }

    /// Drops the idle connections to a server that gave no answer in time.
    ///
    /// Whatever made one connection go silent may have done so to all that
    /// were open, while new ones work.
    fn forget(&self, server: SocketAddr) {
        self.idle.borrow_mut().remove(&server);
    }

    fn keep(&self, server: SocketAddr, connection: Connection) {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(server).or_default();
        connections.retain(|connection| !connection.is_closed());
        if connections.len() < IDLE_LIMIT {
            connections.push(connection);
        }
    }
}

enum SendOutcome {
    Answered(Box<IncomingResponse>),
    Unsent(Box<WebRequest>),
    Lost,
}

fn with_host(server: SocketAddr, mut request: WebRequest) -> WebRequest {
    let host = HeaderValue::from_str(&server.to_string())
        .expect("a socket address has only characters that a header takes");
    request.headers_mut().entry(HOST).or_insert(host);
    request
}

/// Answer whose body is still to be read.
///
/// Dropping it early closes its connection, which tells the server to stop.
pub struct IncomingResponse {
    /// Status and headers.
    pub parts: Parts,
    body: Incoming,
    server: SocketAddr,
    connection: Connection,
    client: WebClient,
}

impl std::fmt::Debug for IncomingResponse {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "WebAnswer({} from {})", self.parts.status, self.server)
    }
}

/// What came next of a streamed answer.
#[derive(Debug)]
pub enum ChunkOutcome {
    /// Some bytes.
    Chunk(Bytes),
    /// The end: the answer is whole.
    End,
    /// The connection broke or went silent; the answer is not whole.
    Lost,
}

impl IncomingResponse {
    /// Waits for the next bytes until a deadline.
    pub async fn next_chunk(&mut self, deadline: ClockTime) -> ChunkOutcome {
        match self.poll_chunk(deadline).await {
            Some(outcome) => outcome,
            None => {
                self.client.forget(self.server);
                ChunkOutcome::Lost
            }
        }
    }

    /// Waits for the next bytes until an instant; `None` if they are still to come.
    pub async fn poll_chunk(&mut self, until: ClockTime) -> Option<ChunkOutcome> {
        loop {
            let clock = self.client.clock.clone();
            let frame = with_deadline(clock.as_ref(), until, self.body.frame()).await?;
            return Some(match frame {
                None => ChunkOutcome::End,
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(chunk) => ChunkOutcome::Chunk(chunk),
                    Err(_trailers) => continue,
                },
                Some(Err(_)) => ChunkOutcome::Lost,
            });
        }
    }

    /// Drops the answer, and the idle connections to its server with it.
    pub fn abandon(self) {
        self.client.forget(self.server);
    }

    /// Gives the connection back after the end of the answer.
    pub fn finish(self) {
        let Self {
            server,
            mut connection,
            client,
            ..
        } = self;
        monoio::spawn(async move {
            if connection.ready().await.is_ok() {
                client.keep(server, connection);
            }
        });
    }

    /// Reads the whole answer, if it is no larger than the limit.
    pub async fn collect(mut self, limit: usize, deadline: ClockTime) -> CollectOutcome {
        let clock = self.client.clock.clone();
        let whole = Limited::new(&mut self.body, limit).collect();
        match with_deadline(clock.as_ref(), deadline, whole).await {
            Some(Ok(collected)) => {
                let bytes = collected.to_bytes();
                let parts = self.parts.clone();
                self.finish();
                CollectOutcome::Response(parts, bytes)
            }
            Some(Err(_)) => CollectOutcome::Lost,
            None => {
                self.client.forget(self.server);
                CollectOutcome::Lost
            }
        }
    }
}
