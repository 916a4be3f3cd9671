//! Clients: they keep connections, check every answer, and tell the book.

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

use crate::book::{RequestKind, RunBook, Tally};
use crate::standin::STREAM_EVENTS;

/// Time that a client waits for its answer.
const PATIENCE: Duration = Duration::from_secs(4);
/// Time in which a new connection must be made.
const CONNECT_SPAN: Duration = Duration::from_secs(1);
/// Largest plain answer in bytes.
const ANSWER_LIMIT: usize = 64 * 1_024;
/// One request in so many uses a key that was taken away, if there is one.
const DEAD_KEY_EVERY: u32 = 12;

/// Daemon as clients see it.
#[derive(Clone)]
pub(crate) struct FrontView {
    pub front: SocketAddr,
    /// Whether new connections go there.
    pub is_in_rotation: Rc<Cell<bool>>,
}

/// What all clients share.
#[derive(Clone)]
pub(crate) struct ClientDesk {
    pub book: Rc<RefCell<RunBook>>,
    pub fronts: Vec<FrontView>,
    /// Keys that were ever given out.
    pub keys: Rc<RefCell<Vec<String>>>,
    /// Instant after which no fault has been in the way for a while.
    pub calm_from: Rc<Cell<Instant>>,
    pub started_at: Instant,
    pub is_over: Rc<Cell<bool>>,
}

/// One client that keeps its connections.
pub(crate) struct SoakClient {
    desk: ClientDesk,
    web: WebClient,
    clock: Rc<dyn ClockSource>,
    rng: StdRng,
    name: u64,
    sent: u64,
}

impl SoakClient {
    pub fn new(desk: ClientDesk, seed: u64, name: u64) -> Self {
        let clock: Rc<dyn ClockSource> = Rc::new(SystemClock::default());
        Self {
            desk,
            web: WebClient::new(clock.clone()).with_connect_timeout(CONNECT_SPAN),
            clock,
            rng: StdRng::seed_from_u64(seed ^ (name << 32)),
            name,
            sent: 0,
        }
    }

    /// Sends requests until the run is over, one each period.
    pub async fn send_all(mut self, period: Duration) {
        while !self.desk.is_over.get() {
            monoio::time::sleep(period).await;
            let request = self.next_request();
            let (desk, web, clock) = (self.desk.clone(), self.web.clone(), self.clock.clone());
            monoio::spawn(async move { request.play(&desk, &web, clock.as_ref()).await });
        }
    }

    fn next_request(&mut self) -> ClientRequest {
        self.sent += 1;
        let fronts = &self.desk.fronts;
        let usable: Vec<_> = fronts
            .iter()
            .filter(|view| view.is_in_rotation.get())
            .collect();
        let usable = if usable.is_empty() {
            fronts.iter().collect()
        } else {
            usable
        };
        let front = usable[self.rng.random_range(0..usable.len())].front;
        let keys = self.desk.keys.borrow();
        let book = self.desk.book.borrow();
        let is_wrong = self.rng.random_range(0..DEAD_KEY_EVERY) == 0;
        let fitting = keys.iter().filter(|key| book.is_live(key) != is_wrong);
        let fitting: Vec<_> = fitting.collect();
        let key = match fitting.len() {
            0 => keys.last().cloned().unwrap_or_default(),
            count => fitting[self.rng.random_range(0..count)].clone(),
        };
        let (kind, path, model) = match self.rng.random_range(0..3) {
            0 => (RequestKind::OnceOnly, "o", ""),
            1 => (RequestKind::Stream, "s", "small"),
            _ => (RequestKind::Stream, "s", "large"),
        };
        ClientRequest {
            id: format!("c{}-{}", self.name, self.sent),
            path: format!("/{path}/{}/{}", self.name, self.sent),
            front,
            key,
            kind,
            model,
        }
    }
}

/// One request.
struct ClientRequest {
    id: String,
    path: String,
    front: SocketAddr,
    key: String,
    kind: RequestKind,
    model: &'static str,
}

/// How a request ended for its client.
enum Ending {
    Served,
    Refused(u16),
    Denied(u16),
    Failed,
}

impl ClientRequest {
    async fn play(self, desk: &ClientDesk, web: &WebClient, clock: &dyn ClockSource) {
        let sent_at = Instant::now();
        desk.book
            .borrow_mut()
            .ask(&self.id, self.kind, "depot", &self.path);
        let was_dead = desk.book.borrow().is_dead(&self.key, sent_at);
        let ending = self.send(desk, web, clock.now() + PATIENCE).await;
        let mut book = desk.book.borrow_mut();
        let is_live = book.is_live(&self.key);
        let second = desk.started_at.elapsed().as_secs();
        match ending {
            Ending::Served => {
                if was_dead && sent_at > desk.calm_from.get() {
                    book.breach(format!("request {} was let in with a dead key", self.id));
                }
                book.count(second, |tally: &mut Tally| tally.served += 1);
            }
            Ending::Refused(status) => {
                book.refuse(&self.id, status);
                book.count(second, |tally| tally.refused += 1);
            }
            Ending::Denied(status) => {
                // While the store is away, daemons can't know keys that were given out since.
                let is_calm = sent_at > desk.calm_from.get();
                let is_known = book.is_live_since(&self.key, desk.started_at);
                if is_known || (is_live && is_calm) {
                    book.breach(format!("request {} was answered {status}", self.id));
                }
            }
            Ending::Failed => {
                // A request with a key that is gone isn't owed an answer.
                if is_live {
                    book.count(second, |tally| tally.failed += 1);
                }
            }
        }
    }

    async fn send(&self, desk: &ClientDesk, web: &WebClient, deadline: ClockTime) -> Ending {
        let request = http::Request::builder()
            .method(Method::POST)
            .uri(&self.path)
            .header("host", "a.example")
            .header("api-key", &self.key)
            .header("x-bronzerun-request-id", &self.id)
            .header("x-bronzerun-deadline-ms", PATIENCE.as_millis() as u64)
            .header("x-bronzerun-model", self.model)
            .header("x-bronzerun-token-counts", "100,60")
            .header("x-bronzerun-tenant", "forged")
            .body(empty_body())
            .expect("the request is well formed");
        let answer = match web.call(self.front, request, deadline).await {
            CallOutcome::Response(answer) => answer,
            CallOutcome::NotSent | CallOutcome::Lost => return Ending::Failed,
        };
        let status = answer.parts.status;
        let seal = header_text(&answer.parts.headers, "x-bronzerun-response-seal");
        let is_own = seal.ends_with(&format!(".{}", self.id));
        match status {
            StatusCode::OK if !is_own => {
                let text = format!("request {} got a success with the seal '{seal}'", self.id);
                desk.book.borrow_mut().breach(text);
                Ending::Failed
            }
            StatusCode::OK if self.kind == RequestKind::Stream => {
                self.read_stream(desk, *answer, deadline).await
            }
            StatusCode::OK => self.read_whole(desk, *answer, deadline).await,
            _ => {
                let ending = match status.as_u16() {
                    code @ (408 | 421 | 429 | 503) => Ending::Refused(code),
                    code @ 400..=499 => Ending::Denied(code),
                    _ => Ending::Failed,
                };
                let _ = answer.collect(ANSWER_LIMIT, deadline).await;
                ending
            }
        }
    }

    async fn read_whole(
        &self,
        desk: &ClientDesk,
        answer: IncomingResponse,
        deadline: ClockTime,
    ) -> Ending {
        let CollectOutcome::Response(_, body) = answer.collect(ANSWER_LIMIT, deadline).await else {
            return Ending::Failed;
        };
        if body != format!("whole:{}", self.id) {
            let text = format!("request {} got another body", self.id);
            desk.book.borrow_mut().breach(text);
        }
        Ending::Served
    }

    /// Reads a stream: its events must come once each, in order, all of them.
    async fn read_stream(
        &self,
        desk: &ClientDesk,
        mut answer: IncomingResponse,
        deadline: ClockTime,
    ) -> Ending {
        let mut text = BytesMut::new();
        loop {
            match answer.next_chunk(deadline).await {
                ChunkOutcome::Chunk(chunk) => text.extend_from_slice(&chunk),
                ChunkOutcome::Lost => return Ending::Failed,
                ChunkOutcome::End => break,
            }
        }
        answer.finish();
        let whole: String = (1..=STREAM_EVENTS)
            .map(|event| format!("id: {event}\ndata: {}:{event}\n\n", self.id))
            .collect();
        if text != whole.as_bytes() {
            let got = String::from_utf8_lossy(&text).replace('\n', " ");
            let text = format!("stream {} ended as complete with: {got}", self.id);
            desk.book.borrow_mut().breach(text);
            return Ending::Failed;
        }
        Ending::Served
    }
}
