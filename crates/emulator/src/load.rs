//! Load generator: streams chat calls at a fixed concurrency and measures token latencies.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use base::prelude::*;
use futures_util::future::join_all;
use hdrhistogram::Histogram;
use net::web::{CallOutcome, ChunkOutcome, WebClient, WebRequest, full_body};

/// Highest latency that the histograms record, in microseconds; longer ones count as this.
const MAX_LATENCY_MICROS: u64 = 600_000_000;
/// Significant decimal digits of the histograms.
const SIGNIFICANT_DIGITS: u8 = 3;
/// Longest wait for the response of a call, and for each chunk of it.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);

/// Load to generate.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Address that calls are sent to.
    pub target: SocketAddr,
    /// API key; `None` if the target requires none.
    pub key: Option<String>,
    /// Model or service that is called.
    pub model: String,
    /// Number of concurrent streams.
    pub streams: usize,
    /// Calls that each stream makes in sequence.
    pub calls: usize,
    /// Tokens requested for each response.
    pub tokens: usize,
}

/// Counts and latencies of a load run.
#[derive(Clone, Debug)]
pub struct LoadResult {
    /// Calls whose response was received to its end.
    pub completed: u64,
    /// Calls without a successful response.
    pub failed: u64,
    /// Calls whose response ended early.
    pub truncated: u64,
    /// Time from sending a call to its first token, in microseconds.
    pub first_token: Histogram<u64>,
    /// Time between successive tokens, in microseconds.
    pub token_gap: Histogram<u64>,
}

impl LoadResult {
    fn new() -> Self {
        Self {
            completed: 0,
            failed: 0,
            truncated: 0,
            first_token: new_histogram(),
            token_gap: new_histogram(),
        }
    }
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS)
        .expect("the constant bounds and digits are valid")
}

fn record(histogram: &mut Histogram<u64>, latency: Duration) {
    let micros = u64::try_from(latency.as_micros()).unwrap_or(MAX_LATENCY_MICROS);
    histogram.saturating_record(micros);
}

/// Makes all calls of a plan and returns their results.
pub async fn run_load(plan: &LoadPlan, clock: Rc<dyn ClockSource>) -> LoadResult {
    let result = RefCell::new(LoadResult::new());
    // Gateways write one answer to each request.
    let client = WebClient::new(clock.clone()).with_strict_order();
    let streams = (0..plan.streams).map(|index| {
        let stream = LoadStream {
            plan,
            index,
            client: client.clone(),
            clock: clock.clone(),
            result: &result,
        };
        stream.run()
    });
    join_all(streams).await;
    result.into_inner()
}

/// Sequential calls of one stream.
struct LoadStream<'a> {
    plan: &'a LoadPlan,
    index: usize,
    client: WebClient,
    clock: Rc<dyn ClockSource>,
    result: &'a RefCell<LoadResult>,
}

impl LoadStream<'_> {
    async fn run(self) {
        for call in 0..self.plan.calls {
            self.call(call).await;
        }
    }

    async fn call(&self, call: usize) {
        let Some(request) = self.build_request(call) else {
            self.result.borrow_mut().failed += 1;
            return;
        };
        let sent_at = self.clock.now();
        let deadline = sent_at + CALL_TIMEOUT;
        let outcome = self.client.call(self.plan.target, request, deadline).await;
        let CallOutcome::Response(mut response) = outcome else {
            self.result.borrow_mut().failed += 1;
            return;
        };
        if !response.parts.status.is_success() {
            self.result.borrow_mut().failed += 1;
            return;
        }
        let mut last: Option<ClockTime> = None;
        loop {
            let deadline = self.clock.now() + CALL_TIMEOUT;
            match response.next_chunk(deadline).await {
                ChunkOutcome::Chunk(_) => last = Some(self.record_token(sent_at, last)),
                ChunkOutcome::End => break,
                ChunkOutcome::Lost => {
                    self.result.borrow_mut().truncated += 1;
                    return;
                }
            }
        }
        response.finish();
        self.result.borrow_mut().completed += 1;
    }

    fn record_token(&self, sent_at: ClockTime, last: Option<ClockTime>) -> ClockTime {
        let now = self.clock.now();
        let mut result = self.result.borrow_mut();
        match last {
            None => record(&mut result.first_token, now.since(sent_at)),
            Some(last) => record(&mut result.token_gap, now.since(last)),
        }
        now
    }

    fn build_request(&self, call: usize) -> Option<WebRequest> {
        let plan = self.plan;
        let body = serde_json::json!({
            "model": plan.model,
            "stream": true,
            "max_tokens": plan.tokens,
            "messages": [{"role": "user", "content": format!("{}-{call}", self.index)}],
        });
        let mut builder = http::Request::post("/v1/chat/completions");
        if let Some(key) = &plan.key {
            builder = builder.header("authorization", format!("Bearer {key}"));
        }
        builder.body(full_body(body.to_string())).ok()
    }
}
