//! Load tool: streams chat calls at a fixed concurrency and times their tokens.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use base::prelude::*;
use futures_util::future::join_all;
use hdrhistogram::Histogram;
use net::web::{CallOutcome, ChunkOutcome, WebClient, WebRequest, full_body};

/// Longest span that is told apart, in microseconds.
const SPAN_LIMIT_MICROS: u64 = 600_000_000;
/// Significant decimal digits of a span.
const DIGITS: u8 = 3;
/// Time in which a call must begin and go on.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);

/// What to send, where, and how much of it.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Where calls go.
    pub target: SocketAddr,
    /// API key, if the target wants one.
    pub key: Option<String>,
    /// Model, or service, that is called.
    pub model: String,
    /// Streams open at once.
    pub streams: usize,
    /// Calls that each stream makes, one after the other.
    pub calls: usize,
    /// Tokens of each answer.
    pub tokens: usize,
}

/// What came back.
#[derive(Clone, Debug)]
pub struct LoadReport {
    /// Answers that were whole.
    pub whole: u64,
    /// Calls that were refused.
    pub refused: u64,
    /// Answers that were cut.
    pub cut: u64,
    /// Times to the first token, in microseconds.
    pub first_token: Histogram<u64>,
    /// Times between tokens, in microseconds.
    pub token_gap: Histogram<u64>,
}

impl LoadReport {
    fn new() -> Self {
        Self {
            whole: 0,
            refused: 0,
            cut: 0,
            first_token: new_histogram(),
            token_gap: new_histogram(),
        }
    }
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, SPAN_LIMIT_MICROS, DIGITS)
        .expect("the bounds and digits are constants that the library takes")
}

fn record(histogram: &mut Histogram<u64>, span: Duration) {
    let micros = u64::try_from(span.as_micros()).unwrap_or(SPAN_LIMIT_MICROS);
    histogram.saturating_record(micros);
}

/// Runs a plan to its end.
pub async fn run_load(plan: &LoadPlan, clock: Rc<dyn ClockSource>) -> LoadReport {
    let report = RefCell::new(LoadReport::new());
    let client = WebClient::new(clock.clone());
    let streams = (0..plan.streams).map(|stream| {
        let caller = LoadCaller {
            plan,
            stream,
            client: client.clone(),
            clock: clock.clone(),
            report: &report,
        };
        caller.run()
    });
    join_all(streams).await;
    report.into_inner()
}

/// One stream's calls.
struct LoadCaller<'a> {
    plan: &'a LoadPlan,
    stream: usize,
    client: WebClient,
    clock: Rc<dyn ClockSource>,
    report: &'a RefCell<LoadReport>,
}

impl LoadCaller<'_> {
    async fn run(self) {
        for call in 0..self.plan.calls {
            self.call(call).await;
        }
    }

    async fn call(&self, call: usize) {
        let Some(request) = self.build_request(call) else {
            self.report.borrow_mut().refused += 1;
            return;
        };
        let sent_at = self.clock.now();
        let deadline = sent_at + CALL_TIMEOUT;
        let outcome = self.client.call(self.plan.target, request, deadline).await;
        let CallOutcome::Response(mut answer) = outcome else {
            self.report.borrow_mut().refused += 1;
            return;
        };
        if !answer.parts.status.is_success() {
            self.report.borrow_mut().refused += 1;
            return;
        }
        let mut last: Option<ClockTime> = None;
        loop {
            let deadline = self.clock.now() + CALL_TIMEOUT;
            match answer.next_chunk(deadline).await {
                ChunkOutcome::Chunk(_) => last = Some(self.note_token(sent_at, last)),
                ChunkOutcome::End => break,
                ChunkOutcome::Lost => {
                    self.report.borrow_mut().cut += 1;
                    return;
                }
            }
        }
        answer.finish();
        self.report.borrow_mut().whole += 1;
    }

    fn note_token(&self, sent_at: ClockTime, last: Option<ClockTime>) -> ClockTime {
        let now = self.clock.now();
        let mut report = self.report.borrow_mut();
        match last {
            None => record(&mut report.first_token, now.since(sent_at)),
            Some(last) => record(&mut report.token_gap, now.since(last)),
        }
        now
    }

    fn build_request(&self, call: usize) -> Option<WebRequest> {
        let plan = self.plan;
        let body = serde_json::json!({
            "model": plan.model,
            "stream": true,
            "max_tokens": plan.tokens,
            "messages": [{"role": "user", "content": format!("{}-{call}", self.stream)}],
        });
        let mut builder = http::Request::post("/v1/chat/completions");
        if let Some(key) = &plan.key {
            builder = builder.header("authorization", format!("Bearer {key}"));
        }
        builder.body(full_body(body.to_string())).ok()
    }
}
