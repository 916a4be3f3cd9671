//! Clients of a site: by failure domain, with the routes and rates of its file.
//!
//! Each attempt has an id of its own, also where a client sends a request again.

use std::rc::Rc;
use std::time::{Duration, Instant};

use base::prelude::*;
use emulator::web::header_text;
use futures_util::future::{Either, select};
use http::header::RETRY_AFTER;
use intent::CallKind;
use net::SystemClock;
use net::web::{
    CallOutcome, ChunkOutcome, CollectOutcome, IncomingResponse, WebClient, empty_body, full_body,
};
use platform::{RouteShape, SiteShape, TrafficShape};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::checker::{RequestKind, Tally};
use crate::clients::{ClientContext, ClientLoad, EntryHost, expected_stream};
use crate::exchanges::ExchangeStep;
use crate::platform::{ROUTE_HOST, tenant_of, whole_body};

/// Time limit for a new connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest body of an answer.
const MAX_BODY_BYTES: usize = 64 * 1_024;
/// Time after which clients send a request again that was refused without a time, or failed.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Longest time for which a client heeds a server.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Attempts of a client for one request.
const MAX_ATTEMPTS: u32 = 2;
/// Part of the requests whose clients leave, and the longest time after which they do.
const LEAVING_SHARE: f64 = 0.03;
const MAX_STAY: Duration = Duration::from_millis(300);

/// Kind of a route, and until when another one may be in force.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RouteKind {
    pub kind: CallKind,
    pub changing_until: Option<Instant>,
}

impl RouteKind {
    pub fn new(kind: CallKind) -> Self {
        Self {
            kind,
            changing_until: None,
        }
    }

    fn is_changing(&self, now: Instant) -> bool {
        self.changing_until.is_some_and(|until| now < until)
    }

    fn request_kind(&self) -> RequestKind {
        match self.kind {
            CallKind::Idempotent => RequestKind::Idempotent,
            CallKind::Stream { resumable: true } => RequestKind::Stream,
            CallKind::OnceOnly | CallKind::Stream { resumable: false } => RequestKind::OnceOnly,
        }
    }
}

/// Clients of a site.
pub(crate) struct SiteCallers {
    pub site: Rc<SiteShape>,
}

impl ClientLoad for SiteCallers {
    fn start(&self, context: &ClientContext, seed: u64) {
        let mut number = 0;
        for traffic in &self.site.traffic {
            for _ in 0..traffic.clients {
                let caller = SiteCaller::new(context.clone(), &self.site, traffic, seed, number);
                let period = Duration::from_secs_f64(traffic.clients as f64 / traffic.rate);
                net::spawn(caller.send_all(period));
                number += 1;
            }
        }
    }
}

/// One client; it keeps its connections open between requests.
struct SiteCaller {
    context: ClientContext,
    site: Rc<SiteShape>,
    traffic: TrafficShape,
    web: WebClient,
    clock: Rc<dyn ClockSource>,
    rng: StdRng,
    number: usize,
    sent: u64,
}

impl SiteCaller {
    fn new(
        context: ClientContext,
        site: &Rc<SiteShape>,
        traffic: &TrafficShape,
        seed: u64,
        number: usize,
    ) -> Self {
        let clock: Rc<dyn ClockSource> = Rc::new(SystemClock::default());
        Self {
            context,
            site: site.clone(),
            traffic: traffic.clone(),
            web: WebClient::new(clock.clone())
                .with_connect_timeout(CONNECT_TIMEOUT)
                .with_strict_order(),
            clock,
            rng: StdRng::seed_from_u64(seed ^ ((number as u64 + 1) << 32)),
            number,
            sent: 0,
        }
    }

    async fn send_all(mut self, period: Duration) {
        loop {
            let pause = period.mul_f64(self.rng.random_range(0.5..1.5));
            monoio::time::sleep(pause).await;
            if self.context.is_finished.get() {
                return;
            }
            let call = self.next_call();
            net::spawn(call.run_all());
        }
    }

    /// Daemons in rotation in the client's failure domain, else in any.
    fn hosts(&self) -> Vec<EntryHost> {
        let all = &self.context.entry_hosts;
        let usable = |is_near: bool| {
            let hosts = all.iter().filter(|host| {
                host.is_in_rotation.get() && (!is_near || host.domain == self.traffic.domain)
            });
            hosts.cloned().collect::<Vec<_>>()
        };
        let near = usable(true);
        let hosts = if near.is_empty() { usable(false) } else { near };
        if hosts.is_empty() { all.clone() } else { hosts }
    }

    fn next_call(&mut self) -> SiteCall {
        self.sent += 1;
        let hosts = self.hosts();
        let first = self.number % hosts.len();
        let sum: f64 = self.traffic.mix.iter().map(|(_, weight)| weight).sum();
        let mut drawn = self.rng.random_range(0.0..sum);
        let route = self.traffic.mix.iter().find(|(_, weight)| {
            drawn -= weight;
            drawn < 0.0
        });
        let (name, _) = route.unwrap_or(&self.traffic.mix[0]);
        let index = self
            .site
            .routes
            .iter()
            .position(|route| route.name == *name);
        let route = index.unwrap_or_default();
        let keys = self.context.keys.borrow();
        let key = keys[self.rng.random_range(0..keys.len())].clone();
        let leaves = self.rng.random_bool(LEAVING_SHARE);
        let stay = MAX_STAY.mul_f64(self.rng.random_range(0.0..1.0));
        SiteCall {
            context: self.context.clone(),
            site: self.site.clone(),
            web: self.web.clone(),
            clock: self.clock.clone(),
            name: format!("c{}-{}", self.number, self.sent),
            hosts,
            first,
            route,
            key,
            stay: leaves.then_some(stay),
        }
    }
}

/// Outcome of an attempt for its client.
enum CallEnd {
    Served,
    /// Refused as not run; when to send it again.
    Refused(u16, Duration),
    Denied(u16),
    Failed,
    /// The client has left.
    Left,
}

/// Request of a client, with its attempts.
struct SiteCall {
    context: ClientContext,
    site: Rc<SiteShape>,
    web: WebClient,
    clock: Rc<dyn ClockSource>,
    name: String,
    hosts: Vec<EntryHost>,
    first: usize,
    route: usize,
    key: String,
    /// Time after which the client leaves, if it does.
    stay: Option<Duration>,
}

impl SiteCall {
    async fn run_all(self) {
        let deadline = self.clock.now() + self.route().client_timeout;
        for attempt in 0..MAX_ATTEMPTS {
            let id = match attempt {
                0 => self.name.clone(),
                _ => format!("{}-{attempt}", self.name),
            };
            let host = &self.hosts[(self.first + attempt as usize) % self.hosts.len()];
            let end = self.run(&id, host, deadline).await;
            let delay = match end {
                CallEnd::Refused(_, delay) => delay,
                CallEnd::Failed if self.route().kind == CallKind::Idempotent => RETRY_DELAY,
                _ => return,
            };
            if self.clock.now() + delay >= deadline {
                return;
            }
            monoio::time::sleep(delay).await;
        }
    }

    fn route(&self) -> &RouteShape {
        &self.site.routes[self.route]
    }

    /// Sends one attempt and judges its answer.
    async fn run(&self, id: &str, host: &EntryHost, deadline: ClockTime) -> CallEnd {
        let now = Instant::now();
        let kind = self.context.route_kinds.borrow()[self.route];
        let path = format!("/{}/{id}", self.route().name);
        let tenant = tenant_of(&self.key, self.site.tenants);
        {
            let mut checker = self.context.checker.borrow_mut();
            checker.record_request(id, kind.request_kind(), &tenant, &path);
            if kind.is_changing(now) {
                checker.excuse(id);
            }
            let daemon = host.index;
            checker.exchanges.record(id, ExchangeStep::Sent { daemon });
        }
        let sent = self.send(id, &path, host, deadline);
        let end = match self.stay {
            None => sent.await,
            Some(stay) => {
                let leaving = monoio::time::sleep(stay);
                match select(Box::pin(sent), Box::pin(leaving)).await {
                    Either::Left((end, _)) => end,
                    Either::Right(_) => CallEnd::Left,
                }
            }
        };
        let second = self.context.started_at.elapsed().as_secs();
        let mut checker = self.context.checker.borrow_mut();
        checker.record_end(id);
        match &end {
            CallEnd::Served => checker.count_outcome(second, |tally: &mut Tally| tally.served += 1),
            CallEnd::Refused(status, _) => {
                checker.record_not_run(id, *status);
                checker.count_outcome(second, |tally| tally.refused += 1);
            }
            CallEnd::Denied(status) => {
                checker.record_violation(format!("request {id} was denied with status {status}"));
            }
            CallEnd::Failed => checker.count_outcome(second, |tally| tally.failed += 1),
            CallEnd::Left => checker.exchanges.record(id, ExchangeStep::Left),
        }
        end
    }

    async fn send(&self, id: &str, path: &str, host: &EntryHost, deadline: ClockTime) -> CallEnd {
        let route = self.route();
        let model = route.model.map(|model| &*self.site.models[model].name);
        let body = match route.request_bytes {
            0 => empty_body(),
            length => full_body("x".repeat(length)),
        };
        let left = deadline.since(self.clock.now());
        let request = http::Request::builder()
            .method(&*route.method)
            .uri(path)
            .header("host", ROUTE_HOST)
            .header("api-key", &self.key)
            .header("x-bronzerun-request-id", id)
            .header("x-bronzerun-deadline-ms", left.as_millis() as u64)
            .header("x-bronzerun-model", model.unwrap_or_default())
            .header("x-bronzerun-token-counts", "100,60")
            .body(body)
            .expect("the request is well formed");
        let record = |status| {
            let mut checker = self.context.checker.borrow_mut();
            checker.exchanges.record(id, ExchangeStep::Received(status));
        };
        let response = match self.web.call(host.client_address, request, deadline).await {
            CallOutcome::Response(response) => response,
            CallOutcome::NotSent(_) | CallOutcome::Withheld(_) | CallOutcome::Lost => {
                record(None);
                return CallEnd::Failed;
            }
            CallOutcome::Discarded => {
                record(None);
                self.record_mixed(id, "got an answer that isn't its own");
                return CallEnd::Failed;
            }
        };
        let status = response.parts.status.as_u16();
        record(Some(status));
        self.check_head(id, &response);
        match status {
            200..=299 if matches!(route.kind, CallKind::Stream { .. }) => {
                self.read_stream(id, *response, deadline).await
            }
            200..=299 => self.read_body(id, *response, deadline).await,
            _ => {
                let delay = retry_delay(&response);
                let _ = response.collect(MAX_BODY_BYTES, deadline).await;
                match status {
                    408 | 421 | 429 | 503 => CallEnd::Refused(status, delay),
                    400..=499 => CallEnd::Denied(status),
                    _ => CallEnd::Failed,
                }
            }
        }
    }

    fn record_mixed(&self, id: &str, text: &str) {
        self.context.checker.borrow_mut().record_mixed(id, text);
    }

    /// Checks that status, id and seal are those of the request's own answer.
    fn check_head(&self, id: &str, response: &IncomingResponse) {
        let headers = &response.parts.headers;
        let status = response.parts.status.as_u16();
        let seal = header_text(headers, "x-bronzerun-response-seal");
        let answered = header_text(headers, "x-bronzerun-request-id");
        if !(200..=599).contains(&status) {
            self.record_mixed(
                id,
                &format!("got {status}, which is no status of an answer"),
            );
        }
        if !answered.is_empty() && answered != id {
            self.record_mixed(id, &format!("got an answer of request {answered}"));
        }
        let is_own_seal = seal.ends_with(&format!(".{id}"));
        if response.parts.status.is_success() && !is_own_seal {
            self.record_mixed(id, &format!("got a success with the seal '{seal}'"));
        }
        if !response.parts.status.is_success() && !seal.is_empty() {
            let was_written = (self.context.checker.borrow().exchanges).was_written(id, status);
            if !is_own_seal || !was_written {
                let text = format!("got status {status} with the seal '{seal}' of another answer");
                self.record_mixed(id, &text);
            }
        }
    }

    async fn read_body(
        &self,
        id: &str,
        response: IncomingResponse,
        deadline: ClockTime,
    ) -> CallEnd {
        let collected = response.collect(MAX_BODY_BYTES, deadline).await;
        let CollectOutcome::Response(_, body) = collected else {
            return CallEnd::Failed;
        };
        if body != whole_body(id) {
            let got = String::from_utf8_lossy(&body);
            self.record_mixed(id, &format!("got a success with the body '{got}'"));
        }
        CallEnd::Served
    }

    async fn read_stream(
        &self,
        id: &str,
        mut response: IncomingResponse,
        deadline: ClockTime,
    ) -> CallEnd {
        let mut text = Vec::new();
        loop {
            match response.next_chunk(deadline).await {
                ChunkOutcome::Chunk(chunk) => text.extend_from_slice(&chunk),
                ChunkOutcome::Lost => return CallEnd::Failed,
                ChunkOutcome::End => break,
            }
        }
        response.finish();
        if text != expected_stream(id).as_bytes() {
            let got = String::from_utf8_lossy(&text).replace('\n', " ");
            self.record_mixed(
                id,
                &format!("got a complete stream with these events: {got}"),
            );
        }
        CallEnd::Served
    }
}

/// Time after which a client sends a request again.
fn retry_delay(response: &IncomingResponse) -> Duration {
    let seconds = header_text(&response.parts.headers, RETRY_AFTER.as_str());
    let named = seconds.parse().ok().map(Duration::try_from_secs_f64);
    let named = named.and_then(Result::ok).unwrap_or(RETRY_DELAY);
    named.clamp(RETRY_DELAY, MAX_RETRY_DELAY)
}
