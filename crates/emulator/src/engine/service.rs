//! HTTP interface of an emulated engine.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

use base::prelude::*;
use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use http::header::CONTENT_TYPE;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use interface::wire::{OrderWire, ReportWire};
use net::web::RequestBody;
use net::web::{BodySender, WebResponse, WebService, body_channel, json_response, text_response};

use super::chat::{CompletionEncoder, CompletionKind, PromptWire};
use super::tokens::answer_tokens;
use super::{EngineOrder, EngineState, OrderVerdict};
use crate::web::{header_text, read_json, unknown_path};

/// Header with the group that the request is addressed to.
const GROUP_HEADER: &str = "x-bronzerun-group";
/// Header with the epoch of that group.
const EPOCH_HEADER: &str = "x-bronzerun-epoch";
/// Header with the number of tokens that the caller has already received.
const RESUME_HEADER: &str = "x-bronzerun-resume";
/// Header with the request ID, in requests and responses.
const REQUEST_HEADER: &str = "x-request-id";

/// Behavior of an engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineOptions {
    /// Whether orders with an old fencing token are refused.
    pub checks_fencing: bool,
    /// Duration of loading a model.
    pub load_time: Duration,
    /// Delay before the first token.
    pub prefill_time: Duration,
    /// Interval between tokens.
    pub token_time: Duration,
}

/// Emulated model engine.
#[derive(Clone)]
pub struct EngineService {
    state: Rc<RefCell<EngineState>>,
    options: EngineOptions,
    clock: Rc<dyn ClockSource>,
}

impl EngineService {
    /// Creates an engine in the given state.
    pub fn new(state: EngineState, options: EngineOptions, clock: Rc<dyn ClockSource>) -> Self {
        Self {
            state: Rc::new(RefCell::new(state)),
            options,
            clock,
        }
    }

    async fn route(&self, request: Request<RequestBody>) -> WebResponse {
        match request.uri().path() {
            "/status" => self.report(),
            "/emulator/leaving" => self.leave(),
            "/orders" => self.apply_order(request.into_body()).await,
            "/v1/chat/completions" => self.generate(CompletionKind::Chat, request).await,
            "/v1/completions" => self.generate(CompletionKind::Text, request).await,
            _ => unknown_path(),
        }
    }

    fn report(&self) -> WebResponse {
        let report = self.state.borrow().report(self.clock.now());
        json_response(StatusCode::OK, &ReportWire::from(report))
    }

    fn leave(&self) -> WebResponse {
        self.state.borrow_mut().leave();
        self.report()
    }

    async fn apply_order(&self, body: RequestBody) -> WebResponse {
        let wire: OrderWire = match read_json(body).await {
            Ok(wire) => wire,
            Err(response) => return response,
        };
        let order = EngineOrder {
            assignment: wire.assignment.map(Into::into),
            model: wire.model,
            incarnation: wire.incarnation,
            token: wire.token,
        };
        let loaded_at = self.clock.now() + self.options.load_time;
        let verdict = self.state.borrow_mut().apply_order(order, loaded_at);
        match verdict {
            OrderVerdict::Accepted => self.report(),
            OrderVerdict::Fenced => text_response(StatusCode::CONFLICT, "the fencing token is old"),
            OrderVerdict::Restarted => {
                text_response(StatusCode::PRECONDITION_FAILED, "another run was meant")
            }
        }
    }

    async fn generate(&self, kind: CompletionKind, request: Request<RequestBody>) -> WebResponse {
        let (parts, body) = request.into_parts();
        if !self.is_addressed_here(&parts.headers) {
            let mut response = text_response(StatusCode::MISDIRECTED_REQUEST, "not in that group");
            if let Some(id) = parts.headers.get(REQUEST_HEADER) {
                response.headers_mut().insert(REQUEST_HEADER, id.clone());
            }
            return response;
        }
        let prompt: PromptWire = match read_json(body).await {
            Ok(prompt) => prompt,
            Err(response) => return response,
        };
        let id = header_text(&parts.headers, REQUEST_HEADER).to_owned();
        let encoder = CompletionEncoder {
            id: format!("cmpl-{id}"),
            model: prompt.model.clone(),
            created: unix_seconds(),
            kind,
        };
        let mut response = if prompt.stream {
            self.stream(encoder, prompt, resume_offset(&parts.headers))
        } else {
            self.respond(encoder, prompt).await
        };
        if let Ok(id) = HeaderValue::from_str(&id) {
            response.headers_mut().insert(REQUEST_HEADER, id);
        }
        response
    }

    fn is_addressed_here(&self, headers: &HeaderMap) -> bool {
        let group = header_text(headers, GROUP_HEADER);
        let epoch = header_text(headers, EPOCH_HEADER);
        group.is_empty()
            || self
                .state
                .borrow()
                .is_member(group, epoch, self.clock.now())
    }

    async fn respond(&self, encoder: CompletionEncoder, prompt: PromptWire) -> WebResponse {
        let _stream = RunningStream::new(self.state.clone());
        let count = prompt.token_count();
        let steps = u32::try_from(count).unwrap_or(u32::MAX);
        monoio::time::sleep(self.options.prefill_time + self.options.token_time * steps).await;
        let text: String = answer_tokens(&prompt.text(), count).collect();
        json_response(StatusCode::OK, &encoder.full_response(&text, count))
    }

    fn stream(&self, encoder: CompletionEncoder, prompt: PromptWire, skip: usize) -> WebResponse {
        let (sender, body) = body_channel();
        let stream = RunningStream::new(self.state.clone());
        let options = self.options;
        monoio::spawn(async move {
            send_tokens(sender, encoder, prompt, skip, options).await;
            drop(stream);
        });
        let mut response = Response::new(body);
        response
            .headers_mut()
            .insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
        response
    }
}

/// Sends tokens at the engine's speed, without the first `skip`; stops if the client disconnects.
async fn send_tokens(
    mut sender: BodySender,
    encoder: CompletionEncoder,
    prompt: PromptWire,
    skip: usize,
    options: EngineOptions,
) {
    monoio::time::sleep(options.prefill_time).await;
    for token in answer_tokens(&prompt.text(), prompt.token_count()).skip(skip) {
        let event = Bytes::from(encoder.token_event(&token));
        if sender.send(event).await.is_err() {
            return;
        }
        monoio::time::sleep(options.token_time).await;
    }
    // Fails if the client has disconnected since the last token.
    let _ = sender.send(Bytes::from(encoder.closing_events())).await;
}

/// Guard that counts one running call until it is dropped.
struct RunningStream(Rc<RefCell<EngineState>>);

impl RunningStream {
    fn new(state: Rc<RefCell<EngineState>>) -> Self {
        state.borrow_mut().start_stream();
        Self(state)
    }
}

impl Drop for RunningStream {
    fn drop(&mut self) {
        self.0.borrow_mut().end_stream();
    }
}

fn resume_offset(headers: &HeaderMap) -> usize {
    header_text(headers, RESUME_HEADER).parse().unwrap_or(0)
}

fn unix_seconds() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_secs())
}

impl WebService for EngineService {
    fn answer(&self, request: Request<RequestBody>) -> LocalBoxFuture<'static, WebResponse> {
        let this = self.clone();
        Box::pin(async move { this.route(request).await })
    }
}
