//! Callers with a blocking HTTP client, for complete and streamed responses.

use std::io::{BufRead, BufReader, Read};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use emulator::engine::tokens::answer_tokens;
use http::{HeaderMap, Request, StatusCode};
use serde_json::{Value, json};

use super::{API_KEY, wait_until};

const CALL_TIMEOUT: Duration = Duration::from_secs(90);

/// Blocking HTTP client.
#[derive(Clone)]
pub struct HttpClient(ureq::Agent);

/// Complete response.
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: StatusCode,
    /// Response headers.
    pub headers: HeaderMap,
    /// Body as text.
    pub text: String,
}

impl Reply {
    /// Body as JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.text).unwrap_or_else(|error| panic!("{error}: {self:?}"))
    }

    /// Value of `x-bronzerun-run`, whether a refused call was run; empty without that header.
    pub fn run_state(&self) -> &str {
        let header = self.headers.get("x-bronzerun-run");
        header.map_or("", |run| run.to_str().unwrap())
    }

    /// Error code of the body.
    pub fn code(&self) -> String {
        self.json()["error"]["code"].as_str().unwrap().to_owned()
    }
}

impl HttpClient {
    /// Client that keeps no idle connections, so that no test reuses a connection of another.
    pub fn new() -> Self {
        let config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(CALL_TIMEOUT))
            .max_idle_connections(0)
            .proxy(None)
            .build();
        Self(config.into())
    }

    /// Sends a request; `None` if no complete response came.
    pub fn try_send(&self, request: Request<String>) -> Option<Reply> {
        let response = self.0.run(request).ok()?;
        let (parts, body) = response.into_parts();
        let mut text = String::new();
        body.into_reader().read_to_string(&mut text).ok()?;
        Some(Reply {
            status: parts.status,
            headers: parts.headers,
            text,
        })
    }

    /// Sends a GET request; `None` if no complete response came.
    pub fn try_get(&self, address: &str, path: &str) -> Option<Reply> {
        let request = Request::get(format!("http://{address}{path}"));
        self.try_send(request.body(String::new()).unwrap())
    }

    /// Sends a GET request and parses the response as JSON.
    pub fn get_json(&self, address: &str, path: &str) -> Value {
        let reply = self.try_get(address, path);
        reply
            .unwrap_or_else(|| panic!("no response: {path}"))
            .json()
    }

    /// Sends a PUT request with JSON and expects a success status.
    pub fn put_json(&self, address: &str, path: &str, body: &Value) {
        let request = Request::put(format!("http://{address}{path}"));
        let reply = self.try_send(request.body(body.to_string()).unwrap());
        let status = reply.map(|reply| reply.status);
        assert!(status.is_some_and(|status| status.is_success()), "{path}");
    }
}

/// API caller of one gateway.
#[derive(Clone)]
pub struct Caller {
    http: HttpClient,
    gateway: String,
    key: String,
}

impl Caller {
    /// Caller with the fleet's API key.
    pub fn new(gateway: &str) -> Self {
        Self::with_key(gateway, API_KEY)
    }

    /// Caller with a given API key.
    pub fn with_key(gateway: &str, key: &str) -> Self {
        Self {
            http: HttpClient::new(),
            gateway: gateway.to_owned(),
            key: key.to_owned(),
        }
    }

    fn request(&self, method: &str, path: &str) -> http::request::Builder {
        Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.gateway))
            .header("authorization", format!("Bearer {}", self.key))
    }

    /// Sends a call; `None` if no complete response came.
    pub fn try_call(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Option<Reply> {
        let mut request = self.request(method, path);
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        self.http.try_send(request.body(body.to_owned()).unwrap())
    }

    /// Sends a call and expects a complete response.
    pub fn call(&self, method: &str, path: &str, headers: &[(&str, &str)], body: &str) -> Reply {
        let reply = self.try_call(method, path, headers, body);
        reply.unwrap_or_else(|| panic!("no complete response: {method} {path}"))
    }

    /// Sends a chat call without streaming.
    pub fn chat(&self, service: &str, prompt: &str, tokens: usize) -> Reply {
        let body = chat_body(service, prompt, tokens, false);
        self.call("POST", "/v1/chat/completions", &[], &body)
    }

    /// Sends a streaming chat call on a separate thread.
    pub fn stream(&self, service: &str, prompt: &str, tokens: usize) -> RunningStream {
        let body = chat_body(service, prompt, tokens, true);
        let request = self.request("POST", "/v1/chat/completions");
        let request = request.body(body).unwrap();
        let http = self.http.clone();
        let progress = Arc::new(AtomicUsize::new(0));
        let shared_progress = progress.clone();
        RunningStream {
            progress,
            thread: thread::spawn(move || read_stream(&http, request, &shared_progress)),
        }
    }
}

fn chat_body(service: &str, prompt: &str, tokens: usize, is_streaming: bool) -> String {
    json!({
        "model": service,
        "stream": is_streaming,
        "max_tokens": tokens,
        "messages": [{"role": "user", "content": prompt}],
    })
    .to_string()
}

/// Text that every emulated engine generates for a prompt.
pub fn expected_text(prompt: &str, tokens: usize) -> String {
    let text = format!("user: {}\n", json!(prompt));
    answer_tokens(&text, tokens).collect()
}

/// Stream that is being read.
pub struct RunningStream {
    progress: Arc<AtomicUsize>,
    thread: JoinHandle<StreamOutcome>,
}

/// Result of a stream that has ended.
#[derive(Debug, Default)]
pub struct StreamOutcome {
    /// HTTP status of the response.
    pub status: u16,
    /// All tokens joined.
    pub text: String,
    /// Number of tokens received.
    pub tokens: usize,
    /// Whether the final `[DONE]` event was received.
    pub done: bool,
    /// Code of the error event, if one was received.
    pub error: Option<String>,
    /// Whether the body ended without its final chunk, or no response came.
    pub cut: bool,
}

impl RunningStream {
    /// Number of tokens received so far.
    pub fn progress(&self) -> usize {
        self.progress.load(Ordering::SeqCst)
    }

    /// Waits until this number of tokens has been received.
    pub fn wait_tokens(&self, tokens: usize) {
        wait_until("tokens of a stream", || self.progress() >= tokens);
    }

    /// Whether the stream has ended.
    pub fn has_ended(&self) -> bool {
        self.thread.is_finished()
    }

    /// Waits for the end of the stream.
    pub fn wait_end(self) -> StreamOutcome {
        self.thread.join().unwrap()
    }

    /// Waits for the end and checks that the answer is complete and as expected.
    pub fn expect_complete(self, prompt: &str, tokens: usize) {
        let outcome = self.wait_end();
        assert!(
            outcome.done && !outcome.cut && outcome.error.is_none(),
            "{outcome:?}"
        );
        assert_eq!(outcome.text, expected_text(prompt, tokens));
        assert_eq!(outcome.tokens, tokens);
    }
}

fn read_stream(
    http: &HttpClient,
    request: Request<String>,
    progress: &AtomicUsize,
) -> StreamOutcome {
    let mut outcome = StreamOutcome::default();
    let Ok(response) = http.0.run(request) else {
        outcome.cut = true;
        return outcome;
    };
    outcome.status = response.status().as_u16();
    for line in BufReader::new(response.into_body().into_reader()).lines() {
        let Ok(line) = line else {
            outcome.cut = true;
            return outcome;
        };
        if let Some(data) = line.strip_prefix("data: ") {
            outcome.record_event(data);
            progress.store(outcome.tokens, Ordering::SeqCst);
        }
    }
    outcome
}

impl StreamOutcome {
    fn record_event(&mut self, data: &str) {
        if data == "[DONE]" {
            self.done = true;
            return;
        }
        let event: Value = serde_json::from_str(data).unwrap();
        if let Some(code) = event["error"]["code"].as_str() {
            self.error = Some(code.to_owned());
        }
        if let Some(token) = event["choices"][0]["delta"]["content"].as_str() {
            assert!(
                !self.done,
                "a token was received after the end of the stream"
            );
            self.text.push_str(token);
            self.tokens += 1;
        }
    }
}
