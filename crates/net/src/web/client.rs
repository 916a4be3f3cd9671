//! HTTP client that reuses connections.
//!
//! The pool decides which connection a request may take and whether an answer belongs to it, by the
//! rules of the crate `exchange`.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::error::Error;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;

use base::prelude::*;
use bytes::Bytes;
use exchange::commands::{accept, send};
use exchange::queries::{is_reusable, may_carry};
use exchange::{
    AnswerFault, AnswerHead, AnswerOrder, ConnectionHistory, ExchangeTag, FinalStatus, HeldRequest,
    NotRunProof, OwnAnswer, SentExchange,
};
use http::header::{CONTENT_LENGTH, HOST, TRANSFER_ENCODING};
use http::response::Parts;
use http::{HeaderMap, HeaderName, HeaderValue, Request};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use monoio::net::TcpStream;
use monoio_compat::hyper::MonoioIo;

use super::body::{MeteredBody, WebBody, collect_body};
use super::gate::SendGate;
use super::held::UnsentRequest;
use super::limits::MAX_PENDING_BYTES;
use crate::metrics::{MetricSink, NullMetrics};
use crate::paced::{PacedStream, ReadMeter};
use crate::runtime::with_deadline;

/// Idle connections kept per server.
const MAX_IDLE_CONNECTIONS: usize = 32;
/// Maximum size of a response's status line and headers in bytes.
const MAX_HEADER_BYTES: usize = 64 * 1_024;

/// Request to another server.
pub type WebRequest = Request<WebBody>;

/// Connection to a server, the meter of what it receives, and what it has carried.
struct Connection {
    /// Number among the client's connections, for logs.
    number: u64,
    requests: http1::SendRequest<WebBody>,
    meter: ReadMeter,
    history: ConnectionHistory,
}

/// Outcome of sending a request and waiting for the response headers.
#[derive(Debug)]
pub enum CallOutcome {
    /// The headers of the request's own response were received; the body is still to be read.
    Response(Box<IncomingResponse>),
    /// No byte of the request was sent.
    NotSent(NotRunProof),
    /// No byte of the request was sent, as its gate was closed.
    Withheld(NotRunProof),
    /// The request may have been sent, but no response was received.
    Lost,
    /// The request may have been sent, and bytes were received that aren't a response of its own.
    Discarded,
}

/// Outcome of a request whose response is read to its end.
#[derive(Debug)]
pub enum CollectOutcome {
    /// The complete response.
    Response(Parts, Bytes),
    /// No byte of the request was sent.
    NotSent(NotRunProof),
    /// The request may have been sent, but no complete response was received.
    Lost,
    /// The request may have been sent, and bytes were received that aren't a response of its own.
    Discarded,
    /// The response began, but its body did not arrive in time.
    Incomplete,
}

/// Time that a response body may take beyond the deadline of its head.
#[derive(Clone, Debug)]
pub struct BodyAllowance {
    /// Longest pause within the body.
    pub pause: Duration,
    /// End of the body at the latest.
    pub latest: ClockTime,
    /// Longest time from the head to that end.
    pub longest: Duration,
    /// Where the arrival of bytes is recorded.
    pub progress: ReadProgress,
}

/// Last instant at which a part of a response body arrived.
#[derive(Clone, Debug, Default)]
pub struct ReadProgress(Rc<Cell<Option<ClockTime>>>);

impl ReadProgress {
    /// Records that bytes have arrived.
    pub fn record(&self, now: ClockTime) {
        self.0.set(Some(now));
    }

    /// Last instant at which bytes arrived; `None` if none have.
    pub fn last(&self) -> Option<ClockTime> {
        self.0.get()
    }
}

/// HTTP client with a connection pool; clones share the pool.
///
/// Unless [`Self::with_tag`] or [`Self::with_strict_order`] says otherwise, each request has a
/// connection of its own.
#[derive(Clone)]
pub struct WebClient {
    clock: Rc<dyn ClockSource>,
    idle: Rc<RefCell<HashMap<SocketAddr, Vec<Connection>>>>,
    /// Number of connections that were opened.
    opened: Rc<Cell<u64>>,
    connect_timeout: Option<Duration>,
    metrics: Rc<dyn MetricSink>,
    /// Kind of the peers, for metrics.
    peers: &'static str,
    /// Header that servers repeat in their responses.
    tag_header: Option<HeaderName>,
    answer_order: AnswerOrder,
}

impl WebClient {
    /// Creates a client without connections.
    pub fn new(clock: Rc<dyn ClockSource>) -> Self {
        Self {
            clock,
            idle: Rc::default(),
            opened: Rc::default(),
            connect_timeout: None,
            metrics: Rc::new(NullMetrics),
            peers: "",
            tag_header: None,
            answer_order: AnswerOrder::default(),
        }
    }

    /// Reuses connections for requests with this header, which servers repeat in their responses.
    pub fn with_tag(self, header: HeaderName) -> Self {
        Self {
            idle: Rc::default(),
            tag_header: Some(header),
            ..self
        }
    }

    /// Reuses connections for all requests, as the peer writes one response to each and no other.
    pub fn with_strict_order(self) -> Self {
        Self {
            idle: Rc::default(),
            answer_order: AnswerOrder::Strict,
            ..self
        }
    }

    /// Counts connections and discarded responses of peers of this kind.
    pub fn with_metrics(self, metrics: Rc<dyn MetricSink>, peers: &'static str) -> Self {
        Self {
            metrics,
            peers,
            ..self
        }
    }

    /// Limits the time for opening a connection, however late a request's deadline is.
    pub fn with_connect_timeout(mut self, timeout: Duration) -> Self {
        self.connect_timeout = Some(timeout);
        self
    }

    /// Sends a request and waits for the response headers.
    ///
    /// A request that passes its deadline closes its connection.
    pub async fn call(
        &self,
        server: SocketAddr,
        request: WebRequest,
        deadline: ClockTime,
    ) -> CallOutcome {
        self.call_gated(server, request, deadline, None).await
    }

    /// The same, but sends the request only if its gate is open once a connection is there.
    pub async fn call_gated(
        &self,
        server: SocketAddr,
        request: WebRequest,
        deadline: ClockTime,
        gate: Option<&dyn SendGate>,
    ) -> CallOutcome {
        let request = with_host(server, request);
        let tag = self.tag(request.headers());
        let mut held = HeldRequest::with_tag(UnsentRequest(request), tag);
        loop {
            let (connection, is_reused) = match self.take_idle(server, &held) {
                Some(connection) => (connection, true),
                None => match self.connect(server, deadline).await {
                    Some(connection) => (connection, false),
                    None => return CallOutcome::NotSent(held.give_up()),
                },
            };
            if let Some(gate) = gate
                && !gate.may_send().await
            {
                self.put_idle(server, connection);
                return CallOutcome::Withheld(held.give_up());
            }
            match self.send(server, connection, held, deadline).await {
                SendOutcome::Response(response) => return CallOutcome::Response(response),
                SendOutcome::Lost => return CallOutcome::Lost,
                SendOutcome::Discarded => return CallOutcome::Discarded,
                // The server may have closed an idle connection in the meantime.
                SendOutcome::Unsent(unsent) if is_reused => held = *unsent,
                SendOutcome::Unsent(unsent) => return CallOutcome::NotSent(unsent.give_up()),
            }
        }
    }

    /// Tag of a request or response; `None` if it has none or this client uses none.
    fn tag(&self, headers: &HeaderMap) -> Option<ExchangeTag> {
        let value = headers.get(self.tag_header.as_ref()?)?;
        ExchangeTag::new(value.to_str().ok()?)
    }

    /// Checks that a response is the one to the exchange that its connection carries.
    fn check(
        &self,
        connection: &mut Connection,
        exchange: SentExchange,
        parts: &Parts,
    ) -> Result<OwnAnswer, AnswerFault> {
        let tag = self.tag(&parts.headers);
        let head = AnswerHead {
            status: parts.status.as_u16(),
            tag: tag.as_ref().map(ExchangeTag::as_str),
            announces_content: announces_content(&parts.headers),
        };
        accept(&mut connection.history, exchange, head)
    }

    /// Sends a request and reads the response, whose body must not exceed `limit` bytes.
    pub async fn collect(
        &self,
        server: SocketAddr,
        request: WebRequest,
        limit: usize,
        deadline: ClockTime,
    ) -> CollectOutcome {
        match self.call(server, request, deadline).await {
            CallOutcome::NotSent(proof) | CallOutcome::Withheld(proof) => {
                CollectOutcome::NotSent(proof)
            }
            CallOutcome::Lost => CollectOutcome::Lost,
            CallOutcome::Discarded => CollectOutcome::Discarded,
            CallOutcome::Response(response) => response.collect(limit, deadline).await,
        }
    }

    /// Sends a request whose response must begin before the deadline; its body may take longer
    /// while bytes of it arrive.
    pub async fn collect_while_arriving(
        &self,
        server: SocketAddr,
        request: WebRequest,
        limit: usize,
        deadline: ClockTime,
        allowance: BodyAllowance,
    ) -> CollectOutcome {
        match self.call(server, request, deadline).await {
            CallOutcome::NotSent(proof) | CallOutcome::Withheld(proof) => {
                CollectOutcome::NotSent(proof)
            }
            CallOutcome::Lost => CollectOutcome::Lost,
            CallOutcome::Discarded => CollectOutcome::Discarded,
            CallOutcome::Response(response) => {
                let collected = response.collect_while_arriving(limit, deadline, allowance);
                collected.await
            }
        }
    }

    fn take_idle(
        &self,
        server: SocketAddr,
        held: &HeldRequest<UnsentRequest<WebBody>>,
    ) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&server)?;
        connections.retain(|connection| connection.requests.is_ready());
        let is_suitable = |connection: &Connection| may_carry(&connection.history, held);
        let position = connections.iter().rposition(is_suitable)?;
        Some(connections.remove(position))
    }

    async fn connect(&self, server: SocketAddr, deadline: ClockTime) -> Option<Connection> {
        let clock = self.clock.as_ref();
        let latest = self.connect_timeout.map(|timeout| clock.now() + timeout);
        let deadline = latest.map_or(deadline, |latest| latest.min(deadline));
        let stream = with_deadline(clock, deadline, TcpStream::connect(server)).await?;
        let stream = stream.ok()?;
        stream.set_nodelay(true).ok()?;
        let meter = ReadMeter::new(MAX_PENDING_BYTES);
        let io = MonoioIo::new(PacedStream::new(stream, meter.clone()).ok()?);
        let (requests, driver) = http1::Builder::new()
            .max_buf_size(MAX_HEADER_BYTES)
            .handshake(io)
            .await
            .ok()?;
        let number = self.opened.get() + 1;
        self.opened.set(number);
        crate::spawn(async move {
            // Other errors are also returned by the request on this connection.
            if let Err(error) = driver.await
                && error.source().is_none()
                && !error.is_incomplete_message()
            {
                log::info!(server:% = server, connection = number; "connection closed: {error}");
            }
        });
        self.metrics
            .count("opened_connections", &[("peers", self.peers)], 1);
        Some(Connection {
            number,
            requests,
            meter,
            history: ConnectionHistory::new(self.answer_order),
        })
    }

    async fn send(
        &self,
        server: SocketAddr,
        mut connection: Connection,
        held: HeldRequest<UnsentRequest<WebBody>>,
        deadline: ClockTime,
    ) -> SendOutcome {
        connection.meter.record_progress();
        let (exchange, UnsentRequest(request)) = send(&mut connection.history, held);
        let sent = connection.requests.try_send_request(request);
        match with_deadline(self.clock.as_ref(), deadline, sent).await {
            None => {
                self.drop_idle(server);
                SendOutcome::Lost
            }
            Some(Ok(response)) => {
                connection.meter.record_progress();
                let (mut parts, body) = response.into_parts();
                let tag = exchange.tag().cloned();
                match self.check(&mut connection, exchange, &parts) {
                    Ok(answer) => {
                        remove_false_length(&mut parts);
                        SendOutcome::Response(Box::new(IncomingResponse {
                            parts,
                            body,
                            server,
                            connection,
                            answer,
                            client: self.clone(),
                        }))
                    }
                    Err(fault) => {
                        let status = parts.status.as_u16();
                        self.discard(server, &connection, tag.as_ref(), Some(status), fault)
                    }
                }
            }
            Some(Err(mut error)) => match error.take_message() {
                Some(unsent) => {
                    SendOutcome::Unsent(Box::new(exchange.take_back(UnsentRequest(unsent))))
                }
                None if is_malformed(error.error()) => {
                    log_failure(server, error.error());
                    let fault = AnswerFault::Malformed;
                    self.discard(server, &connection, exchange.tag(), None, fault)
                }
                None => {
                    log_failure(server, error.error());
                    SendOutcome::Lost
                }
            },
        }
    }

    /// Logs and counts a response that is not the one to the request under way.
    fn discard(
        &self,
        server: SocketAddr,
        connection: &Connection,
        tag: Option<&ExchangeTag>,
        status: Option<u16>,
        fault: AnswerFault,
    ) -> SendOutcome {
        let id = tag.map_or("", ExchangeTag::as_str);
        let exchange = connection.history.exchange_count();
        log::warn!(id, server:% = server, status:? = status, connection = connection.number, exchange, reason = fault.as_str(); "response discarded: it is not the one to the request");
        let labels = [("peers", self.peers), ("reason", fault.as_str())];
        self.metrics.count("discarded_responses", &labels, 1);
        SendOutcome::Discarded
    }

    /// Drops the idle connections to a server that did not respond in time.
    ///
    /// Whatever made one connection stop responding may have affected all that
    /// were open at the time, while new ones may work.
    pub fn drop_idle(&self, server: SocketAddr) {
        self.idle.borrow_mut().remove(&server);
    }

    fn put_idle(&self, server: SocketAddr, connection: Connection) {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(server).or_default();
        connections.retain(|connection| !connection.requests.is_closed());
        if connections.len() < MAX_IDLE_CONNECTIONS {
            connections.push(connection);
        }
    }
}

/// Logs why a connection failed, if its error has a cause that an operator should know.
fn log_failure(server: SocketAddr, error: &hyper::Error) {
    if let Some(cause) = error.source() {
        log::info!(server:% = server; "connection to server failed: {cause}");
    }
}

/// Whether a connection failed because of bytes that are no response; a head that is larger than
/// the limit may be one.
fn is_malformed(error: &hyper::Error) -> bool {
    error.is_parse() && !error.is_parse_too_large()
}

/// Whether a response announces content.
fn announces_content(headers: &HeaderMap) -> bool {
    let mut lengths = headers.get_all(CONTENT_LENGTH).iter();
    headers.contains_key(TRANSFER_ENCODING) || lengths.any(|length| length.as_bytes() != b"0")
}

/// Removes the length of content that a response describes but doesn't have, so that nobody who
/// forwards the response announces it.
fn remove_false_length(parts: &mut Parts) {
    let status = FinalStatus::try_from(parts.status.as_u16());
    if status.is_ok_and(FinalStatus::is_contentless) {
        parts.headers.remove(CONTENT_LENGTH);
        parts.headers.remove(TRANSFER_ENCODING);
    }
}

enum SendOutcome {
    Response(Box<IncomingResponse>),
    Unsent(Box<HeldRequest<UnsentRequest<WebBody>>>),
    Lost,
    Discarded,
}

fn with_host(server: SocketAddr, mut request: WebRequest) -> WebRequest {
    let host = HeaderValue::from_str(&server.to_string())
        .expect("a socket address is a valid header value");
    request.headers_mut().entry(HOST).or_insert(host);
    request
}

/// Response whose body is still to be read.
///
/// Dropping it before the end closes its connection, which cancels the request
/// at the server.
pub struct IncomingResponse {
    /// Status and headers.
    pub parts: Parts,
    body: Incoming,
    server: SocketAddr,
    connection: Connection,
    answer: OwnAnswer,
    client: WebClient,
}

impl std::fmt::Debug for IncomingResponse {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "IncomingResponse({} from {})",
            self.parts.status, self.server
        )
    }
}

/// Outcome of waiting for the next part of a response body.
#[derive(Debug)]
pub enum ChunkOutcome {
    /// The next bytes.
    Chunk(Bytes),
    /// The end of the body; the response is complete.
    End,
    /// The connection failed or sent nothing by the deadline; the response is incomplete.
    Lost,
}

impl IncomingResponse {
    /// Whether it carries the tag of the request.
    pub fn is_named(&self) -> bool {
        self.answer.is_named()
    }

    /// Proof that the request was not run, if the response reports that.
    pub fn not_run(&self, is_reported: bool) -> Option<NotRunProof> {
        self.answer.not_run(is_reported)
    }

    /// Number of its connection among those of its client, for logs.
    pub fn connection_number(&self) -> u64 {
        self.connection.number
    }

    /// Number of its request on its connection, from one, for logs.
    pub fn exchange_number(&self) -> u32 {
        self.connection.history.exchange_count()
    }

    /// Waits for the next bytes; a passed deadline counts as a lost connection.
    pub async fn next_chunk(&mut self, deadline: ClockTime) -> ChunkOutcome {
        // A chunk that is there already would be returned before the deadline is looked at, and a
        // server that sends without end always has one there.
        let is_passed = self.client.clock.now() >= deadline;
        let outcome = if is_passed {
            None
        } else {
            self.poll_chunk(deadline).await
        };
        match outcome {
            Some(outcome) => outcome,
            None => {
                self.client.drop_idle(self.server);
                ChunkOutcome::Lost
            }
        }
    }

    /// Waits for the next bytes until an instant; `None` if none have arrived by then.
    pub async fn poll_chunk(&mut self, until: ClockTime) -> Option<ChunkOutcome> {
        let clock = self.client.clock.clone();
        with_deadline(clock.as_ref(), until, self.read_chunk()).await
    }

    /// Waits for the next bytes; nothing is lost if the future is dropped.
    pub async fn read_chunk(&mut self) -> ChunkOutcome {
        loop {
            let frame = self.body.frame().await;
            self.connection.meter.record_progress();
            return match frame {
                None => ChunkOutcome::End,
                Some(Ok(frame)) => match frame.into_data() {
                    // A copy, as a small chunk would keep the buffer that it was read into.
                    Ok(chunk) => ChunkOutcome::Chunk(Bytes::copy_from_slice(&chunk)),
                    Err(_trailers) => continue,
                },
                Some(Err(error)) => {
                    log_failure(self.server, &error);
                    ChunkOutcome::Lost
                }
            };
        }
    }

    /// Drops the idle connections to the server, but not this one.
    pub fn drop_idle(&self) {
        self.client.drop_idle(self.server);
    }

    /// Returns the connection to the pool after the end of the body, if it may carry another
    /// exchange.
    pub fn finish(self) {
        let Self {
            server,
            mut connection,
            client,
            ..
        } = self;
        if !is_reusable(&connection.history) {
            return;
        }
        crate::spawn(async move {
            if connection.requests.ready().await.is_ok() {
                client.put_idle(server, connection);
            }
        });
    }

    /// Reads the rest of the body while bytes of it arrive.
    pub async fn collect_while_arriving(
        mut self,
        limit: usize,
        deadline: ClockTime,
        allowance: BodyAllowance,
    ) -> CollectOutcome {
        let clock = self.client.clock.clone();
        let BodyAllowance {
            pause,
            latest,
            longest,
            progress,
        } = allowance;
        let latest = latest.min(clock.now() + longest);
        let result = {
            let body = MeteredBody::new(&mut self.body, self.connection.meter.clone());
            let arrivals = (progress.clone(), clock.clone());
            let mut body = body.map_frame(move |frame| {
                arrivals.0.record(arrivals.1.now());
                frame
            });
            let mut collected = pin!(collect_body(&mut body, limit));
            let mut until = deadline.min(latest);
            loop {
                if let Some(result) = with_deadline(clock.as_ref(), until, collected.as_mut()).await
                {
                    break Some(result);
                }
                let extended = progress.last().map(|last| (last + pause).min(latest));
                match extended.filter(|extended| *extended > until) {
                    Some(extended) => until = extended,
                    None => break None,
                }
            }
        };
        match result {
            Some(Ok(bytes)) => {
                let parts = self.parts.clone();
                self.finish();
                CollectOutcome::Response(parts, bytes)
            }
            Some(Err(error)) => {
                log::info!(server:% = self.server, limit; "response not read: {error}");
                CollectOutcome::Incomplete
            }
            None => {
                self.client.drop_idle(self.server);
                CollectOutcome::Incomplete
            }
        }
    }

    /// Reads the rest of the body; one of more than `limit` bytes counts as lost.
    pub async fn collect(mut self, limit: usize, deadline: ClockTime) -> CollectOutcome {
        let clock = self.client.clock.clone();
        let mut body = MeteredBody::new(&mut self.body, self.connection.meter.clone());
        let collected = collect_body(&mut body, limit);
        match with_deadline(clock.as_ref(), deadline, collected).await {
            Some(Ok(bytes)) => {
                let parts = self.parts.clone();
                self.finish();
                CollectOutcome::Response(parts, bytes)
            }
            Some(Err(error)) => {
                log::info!(server:% = self.server, limit; "response not read: {error}");
                CollectOutcome::Lost
            }
            None => {
                self.client.drop_idle(self.server);
                CollectOutcome::Lost
            }
        }
    }
}
