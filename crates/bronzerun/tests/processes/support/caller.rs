//! Callers: whole and streamed answers over a blocking client.

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

/// Blocking client.
#[derive(Clone)]
pub struct Web(ureq::Agent);

/// Whole answer.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body as text.
    pub text: String,
}

impl Reply {
    /// Body as JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.text).unwrap_or_else(|fault| panic!("{fault}: {self:?}"))
    }

    /// Whether a refused call was run.
    pub fn run(&self) -> &str {
        let header = self.headers.get("x-bronzerun-run");
        header.map_or("", |run| run.to_str().unwrap())
    }

    /// Code of an error.
    pub fn code(&self) -> String {
        self.json()["error"]["code"].as_str().unwrap().to_owned()
    }
}

impl Web {
    /// Client that keeps no connections, so that no test meets another's.
    pub fn new() -> Self {
        let config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(CALL_TIMEOUT))
            .max_idle_connections(0)
            .proxy(None)
            .build();
        Self(config.into())
    }

    /// Sends a request; `None` if there was no whole answer.
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

    /// Reads a page; `None` if there was no whole answer.
    pub fn try_get(&self, address: &str, path: &str) -> Option<Reply> {
        let request = Request::get(format!("http://{address}{path}"));
        self.try_send(request.body(String::new()).unwrap())
    }

    /// Reads a page as JSON.
    pub fn get_json(&self, address: &str, path: &str) -> Value {
        let reply = self.try_get(address, path);
        reply.unwrap_or_else(|| panic!("no answer: {path}")).json()
    }

    /// Puts JSON, which must be taken.
    pub fn put_json(&self, address: &str, path: &str, body: &Value) {
        let request = Request::put(format!("http://{address}{path}"));
        let reply = self.try_send(request.body(body.to_string()).unwrap());
        let status = reply.map(|reply| reply.status);
        assert!(status.is_some_and(|status| status.is_success()), "{path}");
    }
}

/// Caller of one gateway.
#[derive(Clone)]
pub struct Caller {
    web: Web,
    gateway: String,
    key: String,
}

impl Caller {
    /// Caller with the fleet's key.
    pub fn new(gateway: &str) -> Self {
        Self::with_key(gateway, API_KEY)
    }

    /// Caller with another key.
    pub fn with_key(gateway: &str, key: &str) -> Self {
        Self {
            web: Web::new(),
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

    /// Sends a call; `None` if there was no whole answer.
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
        self.web.try_send(request.body(body.to_owned()).unwrap())
    }

    /// Sends a call.
    pub fn call(&self, method: &str, path: &str, headers: &[(&str, &str)], body: &str) -> Reply {
        let reply = self.try_call(method, path, headers, body);
        reply.unwrap_or_else(|| panic!("no whole answer: {method} {path}"))
    }

    /// Chats without streaming.
    pub fn chat(&self, service: &str, prompt: &str, tokens: usize) -> Reply {
        let body = chat_body(service, prompt, tokens, false);
        self.call("POST", "/v1/chat/completions", &[], &body)
    }

    /// Chats with streaming, on a thread of its own.
    pub fn stream(&self, service: &str, prompt: &str, tokens: usize) -> RunningStream {
        let body = chat_body(service, prompt, tokens, true);
        let request = self.request("POST", "/v1/chat/completions");
        let request = request.body(body).unwrap();
        let web = self.web.clone();
        let progress = Arc::new(AtomicUsize::new(0));
        let heard = progress.clone();
        RunningStream {
            progress,
            thread: thread::spawn(move || read_stream(&web, request, &heard)),
        }
    }
}

fn chat_body(service: &str, prompt: &str, tokens: usize, streams: bool) -> String {
    json!({
        "model": service,
        "stream": streams,
        "max_tokens": tokens,
        "messages": [{"role": "user", "content": prompt}],
    })
    .to_string()
}

/// Text that every engine answers a prompt with.
pub fn expected_text(prompt: &str, tokens: usize) -> String {
    let text = format!("user: {}\n", json!(prompt));
    answer_tokens(&text, tokens).collect()
}

/// Stream under way.
pub struct RunningStream {
    progress: Arc<AtomicUsize>,
    thread: JoinHandle<StreamEnd>,
}

/// Stream that has ended.
#[derive(Debug, Default)]
pub struct StreamEnd {
    /// Status of the answer.
    pub status: u16,
    /// Tokens joined.
    pub text: String,
    /// Tokens that came.
    pub tokens: usize,
    /// Whether the last event said that the answer is whole.
    pub done: bool,
    /// Code of the error event, if one came.
    pub error: Option<String>,
    /// Whether the body ended without its final chunk.
    pub cut: bool,
}

impl RunningStream {
    /// Tokens that have come.
    pub fn progress(&self) -> usize {
        self.progress.load(Ordering::SeqCst)
    }

    /// Waits until some tokens have come.
    pub fn wait_tokens(&self, tokens: usize) {
        wait_until("tokens of a stream", || self.progress() >= tokens);
    }

    /// Waits for the end.
    pub fn end(self) -> StreamEnd {
        self.thread.join().unwrap()
    }

    /// Waits for the end, which must be that of a whole answer.
    pub fn expect_whole(self, prompt: &str, tokens: usize) {
        let end = self.end();
        assert!(end.done && !end.cut && end.error.is_none(), "{end:?}");
        assert_eq!(end.text, expected_text(prompt, tokens));
        assert_eq!(end.tokens, tokens);
    }
}

fn read_stream(web: &Web, request: Request<String>, progress: &AtomicUsize) -> StreamEnd {
    let mut end = StreamEnd::default();
    let Ok(response) = web.0.run(request) else {
        end.cut = true;
        return end;
    };
    end.status = response.status().as_u16();
    for line in BufReader::new(response.into_body().into_reader()).lines() {
        let Ok(line) = line else {
            end.cut = true;
            return end;
        };
        if let Some(data) = line.strip_prefix("data: ") {
            end.take_event(data);
            progress.store(end.tokens, Ordering::SeqCst);
        }
    }
    end
}

impl StreamEnd {
    fn take_event(&mut self, data: &str) {
        if data == "[DONE]" {
            self.done = true;
            return;
        }
        let event: Value = serde_json::from_str(data).unwrap();
        if let Some(code) = event["error"]["code"].as_str() {
            self.error = Some(code.to_owned());
        }
        if let Some(token) = event["choices"][0]["delta"]["content"].as_str() {
            assert!(!self.done, "a token after the end");
            self.text.push_str(token);
            self.tokens += 1;
        }
    }
}
