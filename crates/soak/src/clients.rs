//! Clients that keep connections, check every response and report it to the
//! invariant checker.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use base::prelude::*;
use bytes::BytesMut;
use emulator::web::header_text;
use http::{Method, StatusCode};
use net::SystemClock;
use net::web::{
    CallOutcome, ChunkOutcome, CollectOutcome, IncomingResponse, WebClient, empty_body,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::callers::RouteKind;
use crate::checker::{InvariantChecker, RequestKind, Tally};
use crate::exchanges::ExchangeStep;
use crate::platform::{STREAM_EVENTS, whole_body};

/// Number of clients of the built-in deployment.
const CLIENT_COUNT: u64 = 6;
/// Time that a client waits for a complete response.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(4);
/// Time before its client's deadline from which a stream may be cut for want of time.
const DEADLINE_MARGIN: Duration = Duration::from_millis(200);
/// Time limit for a new connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest body of a response that is not a stream.
const MAX_BODY_BYTES: usize = 64 * 1_024;
/// Time from a partition until callers of the partitioned daemon are served as others.
const CUT_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after a refusal after which some clients send the request again under the same id.
const REPEAT_DELAY: Duration = Duration::from_millis(400);
/// Times that such clients send a request.
const MAX_ATTEMPTS: u32 = 3;
/// One request in this many, on average, uses a revoked key, if there is one.
const REVOKED_KEY_ONE_IN: u32 = 12;

/// Entry host as clients see it.
#[derive(Clone)]
pub(crate) struct EntryHost {
    pub index: usize,
    pub domain: Arc<str>,
    pub client_address: SocketAddr,
    /// Whether clients send new requests to it.
    pub is_in_rotation: Rc<Cell<bool>>,
    /// When it was last partitioned from all servers, and until when.
    pub cut: Rc<Cell<Option<(Instant, Instant)>>>,
}

impl EntryHost {
    /// Whether it is partitioned from all servers, and has been for long enough to know.
    fn is_known_cut(&self, now: Instant) -> bool {
        let cut = self.cut.get();
        cut.is_some_and(|(from, until)| now >= from + CUT_TIMEOUT && now < until)
    }
}

/// State that all clients share.
#[derive(Clone)]
pub(crate) struct ClientContext {
    pub checker: Rc<RefCell<InvariantChecker>>,
    pub entry_hosts: Vec<EntryHost>,
    /// All keys that clients know, the revoked ones included.
    pub keys: Rc<RefCell<Vec<String>>>,
    /// Requests sent after this instant are not disturbed by a fault, so keys are
    /// checked strictly.
    pub strict_from: Rc<Cell<Instant>>,
    pub started_at: Instant,
    /// Number of clients that send a refused request again under the same id.
    pub repeating_clients: u64,
    /// Kinds of the routes.
    pub route_kinds: Rc<RefCell<Vec<RouteKind>>>,
    pub is_finished: Rc<Cell<bool>>,
}

/// Clients of a run.
pub(crate) trait ClientLoad {
    /// Starts all of them.
    fn start(&self, context: &ClientContext, seed: u64);
}

/// Clients of the built-in deployment, at a fixed rate.
pub(crate) struct SteadyClients {
    /// Requests a second, over all of them.
    pub rate: u64,
}

impl ClientLoad for SteadyClients {
    fn start(&self, context: &ClientContext, seed: u64) {
        let period = Duration::from_millis(1_000 * CLIENT_COUNT / self.rate.max(1));
        for name in 0..CLIENT_COUNT {
            let client = SoakClient::new(context.clone(), seed, name);
            net::spawn(client.send_all(period));
        }
    }
}

/// One client; it keeps its connections open between requests.
pub(crate) struct SoakClient {
    context: ClientContext,
    web: WebClient,
    clock: Rc<dyn ClockSource>,
    rng: StdRng,
    name: u64,
    sent: u64,
}

impl SoakClient {
    pub fn new(context: ClientContext, seed: u64, name: u64) -> Self {
        let clock: Rc<dyn ClockSource> = Rc::new(SystemClock::default());
        Self {
            context,
            web: WebClient::new(clock.clone())
                .with_connect_timeout(CONNECT_TIMEOUT)
                .with_strict_order(),
            clock,
            rng: StdRng::seed_from_u64(seed ^ (name << 32)),
            name,
            sent: 0,
        }
    }

    /// Sends one request each period until the run ends.
    pub async fn send_all(mut self, period: Duration) {
        while !self.context.is_finished.get() {
            monoio::time::sleep(period).await;
            let request = self.next_request();
            let (context, web, clock) =
                (self.context.clone(), self.web.clone(), self.clock.clone());
            net::spawn(async move { request.run_all(&context, &web, clock.as_ref()).await });
        }
    }

    fn next_request(&mut self) -> ClientRequest {
        self.sent += 1;
        let entry_hosts = &self.context.entry_hosts;
        let usable: Vec<_> = entry_hosts
            .iter()
            .filter(|host| host.is_in_rotation.get())
            .collect();
        let usable = if usable.is_empty() {
            entry_hosts.iter().collect()
        } else {
            usable
        };
        let host = usable[self.rng.random_range(0..usable.len())].clone();
        // The same daemon again, or the next one in rotation.
        let next = usable[self.sent as usize % usable.len()].clone();
        let is_repeated = self.name < self.context.repeating_clients;
        let is_same_daemon = self.sent.is_multiple_of(2);
        let repeats_at = is_repeated.then(|| if is_same_daemon { host.clone() } else { next });
        let keys = self.context.keys.borrow();
        let checker = self.context.checker.borrow();
        let wants_revoked = self.rng.random_range(0..REVOKED_KEY_ONE_IN) == 0;
        let candidates = keys
            .iter()
            .filter(|key| checker.is_valid(key) != wants_revoked);
        let candidates: Vec<_> = candidates.collect();
        let key = match candidates.len() {
            0 => keys.last().cloned().unwrap_or_default(),
            count => candidates[self.rng.random_range(0..count)].clone(),
        };
        let (kind, path, model) = match self.rng.random_range(0..3) {
            0 => (RequestKind::OnceOnly, "o", ""),
            1 => (RequestKind::Stream, "s", "small"),
            _ => (RequestKind::Stream, "s", "large"),
        };
        ClientRequest {
            id: format!("c{}-{}", self.name, self.sent),
            path: format!("/{path}/{}/{}", self.name, self.sent),
            host,
            repeats_at,
            key,
            kind,
            model,
        }
    }
}

/// Request about to be sent.
struct ClientRequest {
    id: String,
    path: String,
    host: EntryHost,
    /// Daemon to which it is sent again after a refusal.
    repeats_at: Option<EntryHost>,
    key: String,
    kind: RequestKind,
    model: &'static str,
}

/// Outcome of a request for its client.
enum RequestOutcome {
    Served,
    NotRun(u16),
    Denied(u16),
    Failed,
}

impl ClientRequest {
    /// Sends the request, some also again after a refusal.
    async fn run_all(mut self, context: &ClientContext, web: &WebClient, clock: &dyn ClockSource) {
        context
            .checker
            .borrow_mut()
            .record_request(&self.id, self.kind, "depot", &self.path);
        for _ in 0..MAX_ATTEMPTS {
            let is_refused = self.run(context, web, clock).await;
            let Some(host) = self.repeats_at.as_ref().filter(|_| is_refused) else {
                return;
            };
            self.host = host.clone();
            monoio::time::sleep(REPEAT_DELAY).await;
            context.checker.borrow_mut().record_repeat(&self.id);
        }
    }

    /// Sends the request once; returns whether it was refused as not run.
    async fn run(&self, context: &ClientContext, web: &WebClient, clock: &dyn ClockSource) -> bool {
        let sent_at = Instant::now();
        let was_revoked = context
            .checker
            .borrow()
            .is_revocation_due(&self.key, sent_at);
        let is_cut = self.host.is_known_cut(sent_at);
        let has_cut = context
            .entry_hosts
            .iter()
            .any(|host| host.is_known_cut(sent_at));
        let outcome = self.send(context, web, clock.now() + CLIENT_TIMEOUT).await;
        let is_refused = matches!(outcome, RequestOutcome::NotRun(_));
        let mut checker = context.checker.borrow_mut();
        let is_calm = sent_at > context.strict_from.get();
        if has_cut && is_calm && !matches!(outcome, RequestOutcome::Denied(_)) {
            let is_served = matches!(outcome, RequestOutcome::Served);
            checker.record_try_in_cut(is_cut, is_served);
        }
        let is_valid = checker.is_valid(&self.key);
        let second = context.started_at.elapsed().as_secs();
        match outcome {
            RequestOutcome::Served => {
                if was_revoked && sent_at > context.strict_from.get() {
                    checker.record_violation(format!(
                        "request {} was served with a revoked key",
                        self.id
                    ));
                }
                checker.count_outcome(second, |tally: &mut Tally| tally.served += 1);
            }
            RequestOutcome::NotRun(status) => {
                checker.record_not_run(&self.id, status);
                checker.count_outcome(second, |tally| tally.refused += 1);
            }
            RequestOutcome::Denied(status) => {
                // While the store is unavailable, daemons cannot learn of newly issued keys.
                let is_strict = sent_at > context.strict_from.get();
                let was_always_valid = checker.is_valid_since(&self.key, context.started_at);
                if was_always_valid || (is_valid && is_strict) {
                    checker.record_violation(format!(
                        "request {} with a valid key got status {status}",
                        self.id
                    ));
                }
            }
            RequestOutcome::Failed => {
                // A request with a revoked key need not be served.
                if is_valid {
                    checker.count_outcome(second, |tally| tally.failed += 1);
                }
            }
        }
        is_refused
    }

    fn record(&self, context: &ClientContext, step: ExchangeStep) {
        let mut checker = context.checker.borrow_mut();
        checker.exchanges.record(&self.id, step);
    }

    async fn send(
        &self,
        context: &ClientContext,
        web: &WebClient,
        deadline: ClockTime,
    ) -> RequestOutcome {
        let sent_at = Instant::now();
        let request = http::Request::builder()
            .method(Method::POST)
            .uri(&self.path)
            .header("host", "a.example")
            .header("api-key", &self.key)
            .header("x-bronzerun-request-id", &self.id)
            .header("x-bronzerun-deadline-ms", CLIENT_TIMEOUT.as_millis() as u64)
            .header("x-bronzerun-model", self.model)
            .header("x-bronzerun-token-counts", "100,60")
            .header("x-bronzerun-tenant", "forged")
            .body(empty_body())
            .expect("the request is well formed");
        let daemon = self.host.index;
        self.record(context, ExchangeStep::Sent { daemon });
        let response = match web.call(self.host.client_address, request, deadline).await {
            CallOutcome::Response(response) => response,
            CallOutcome::NotSent(_)
            | CallOutcome::Withheld(_)
            | CallOutcome::Lost
            | CallOutcome::Discarded => {
                self.record(context, ExchangeStep::Received(None));
                return RequestOutcome::Failed;
            }
        };
        let status = response.parts.status;
        self.record(context, ExchangeStep::Received(Some(status.as_u16())));
        let seal = header_text(&response.parts.headers, "x-bronzerun-response-seal");
        let is_seal_valid = seal.ends_with(&format!(".{}", self.id));
        match status {
            StatusCode::OK if !is_seal_valid => {
                let text = format!(
                    "request {} got status 200 with the seal '{seal}', which is not for this request",
                    self.id
                );
                context.checker.borrow_mut().record_violation(text);
                RequestOutcome::Failed
            }
            StatusCode::OK if self.kind == RequestKind::Stream => {
                self.read_stream(context, *response, deadline, sent_at)
                    .await
            }
            StatusCode::OK => self.read_body(context, *response, deadline).await,
            _ => {
                let outcome = match status.as_u16() {
                    code @ (408 | 421 | 429 | 503) => RequestOutcome::NotRun(code),
                    code @ 400..=499 => RequestOutcome::Denied(code),
                    _ => RequestOutcome::Failed,
                };
                let _ = response.collect(MAX_BODY_BYTES, deadline).await;
                outcome
            }
        }
    }

    async fn read_body(
        &self,
        context: &ClientContext,
        response: IncomingResponse,
        deadline: ClockTime,
    ) -> RequestOutcome {
        let CollectOutcome::Response(_, body) = response.collect(MAX_BODY_BYTES, deadline).await
        else {
            return RequestOutcome::Failed;
        };
        if body != whole_body(&self.id) {
            let text = format!("request {} got an unexpected body", self.id);
            context.checker.borrow_mut().record_violation(text);
        }
        RequestOutcome::Served
    }

    /// Reads a stream to its end: every event must arrive exactly once and in order.
    async fn read_stream(
        &self,
        context: &ClientContext,
        mut response: IncomingResponse,
        deadline: ClockTime,
        sent_at: Instant,
    ) -> RequestOutcome {
        let mut text = BytesMut::new();
        loop {
            match response.next_chunk(deadline).await {
                ChunkOutcome::Chunk(chunk) => text.extend_from_slice(&chunk),
                ChunkOutcome::Lost => {
                    let now = Instant::now();
                    if now.duration_since(sent_at) + DEADLINE_MARGIN < CLIENT_TIMEOUT {
                        let mut checker = context.checker.borrow_mut();
                        checker.record_cut_stream(&self.id, sent_at, now);
                    }
                    return RequestOutcome::Failed;
                }
                ChunkOutcome::End => break,
            }
        }
        response.finish();
        if text != expected_stream(&self.id).as_bytes() {
            let got = String::from_utf8_lossy(&text).replace('\n', " ");
            let text = format!(
                "stream {} ended normally, but with these events: {got}",
                self.id
            );
            context.checker.borrow_mut().record_violation(text);
            return RequestOutcome::Failed;
        }
        RequestOutcome::Served
    }
}

/// Text of a complete stream.
pub(crate) fn expected_stream(id: &str) -> String {
    let events = 1..=STREAM_EVENTS;
    events
        .map(|event| format!("id: {event}\ndata: {id}:{event}\n\n"))
        .collect()
}
