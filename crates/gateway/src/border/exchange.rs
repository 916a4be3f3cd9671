//! Forwarding of one call's request to endpoints and of the response to its caller.

use std::rc::Rc;

use base::prelude::*;
use bytes::Bytes;
use futures_channel::mpsc::UnboundedSender;
use futures_channel::oneshot;
use http::request::Builder;
use http::response::Parts;
use http::{HeaderMap, HeaderValue, Method, Response, StatusCode};
use net::web::{
    BodySender, CallOutcome, ChunkOutcome, CollectOutcome, IncomingResponse, WebClient, WebRequest,
    WebResponse, body_channel, full_body,
};
use net::with_deadline;

use super::events::{EventKind, EventSplitter, classify};
use super::response::{
    REQUEST_HEADER, endpoint_response, forwarded_headers, recorded_response, refusal_event,
    refusal_response, to_recorded,
};
use crate::{AttemptEnd, CallRefusal, GatewayEvent, SendOrder};

/// Header with the addressed group.
const GROUP_HEADER: &str = "x-bronzerun-group";
/// Header with the expected generation of that group.
const EPOCH_HEADER: &str = "x-bronzerun-epoch";
/// Header with the number of tokens that the caller has already received.
const RESUME_HEADER: &str = "x-bronzerun-resume";
/// Largest response that isn't streamed, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 * 1_024 * 1_024;

/// Request to forward to an endpoint.
pub struct EndpointRequest {
    /// HTTP method.
    pub method: Method,
    /// Path and query string.
    pub path: Arc<str>,
    /// Headers to forward.
    pub headers: HeaderMap,
    /// Request body.
    pub body: Bytes,
    /// Whether the response is a stream of events.
    pub streams: bool,
    /// Request identifier, sent to the endpoint and to the caller.
    pub id: HeaderValue,
}

/// Timeouts of an exchange.
#[derive(Clone, Copy, Debug)]
pub struct ExchangeTimes {
    /// Silence of an endpoint after which its stream counts as lost.
    pub silence_limit: Duration,
    /// Time within which a caller must accept the next bytes.
    pub client_timeout: Duration,
}

/// Dependencies of an exchange.
#[derive(Clone)]
pub struct ExchangeContext {
    /// HTTP client for endpoints.
    pub client: WebClient,
    /// Clock of the deadlines.
    pub clock: Rc<dyn ClockSource>,
    /// Input of the event loop.
    pub events: UnboundedSender<GatewayEvent>,
    /// Timeouts.
    pub times: ExchangeTimes,
}

/// Exchange between one caller and the endpoints that its call is sent to.
pub struct CallExchange {
    call: CallId,
    request: EndpointRequest,
    context: ExchangeContext,
    response_sender: Option<oneshot::Sender<WebResponse>>,
    stream: Option<BodySender>,
    sent_tokens: usize,
    held_response: Option<(Parts, Bytes)>,
}

impl CallExchange {
    /// Exchange that has sent nothing yet.
    pub fn new(
        call: CallId,
        request: EndpointRequest,
        context: ExchangeContext,
        response_sender: oneshot::Sender<WebResponse>,
    ) -> Self {
        Self {
            call,
            request,
            context,
            response_sender: Some(response_sender),
            stream: None,
            sent_tokens: 0,
            held_response: None,
        }
    }

    /// Waits until the caller disconnects. Never returns once the response was sent
    /// or has started.
    pub async fn caller_disconnected(&mut self) {
        match &mut self.response_sender {
            Some(sender) => sender.cancellation().await,
            None => std::future::pending().await,
        }
    }

    /// Drops the response channel of a caller that has disconnected.
    pub fn drop_caller(&mut self) {
        self.response_sender = None;
    }

    /// Sends the request to an endpoint and forwards the response.
    pub async fn attempt(&mut self, order: &SendOrder) -> AttemptEnd {
        let Some(request) = self.build_request(order) else {
            return AttemptEnd::NotSent;
        };
        let deadline = self.response_deadline(order);
        let response = match self
            .context
            .client
            .call(order.address, request, deadline)
            .await
        {
            CallOutcome::Response(response) => response,
            CallOutcome::NotSent => return AttemptEnd::NotSent,
            CallOutcome::Lost => return AttemptEnd::Lost,
        };
        if !self.matches_request(&response) {
            return AttemptEnd::Lost;
        }
        match response.parts.status {
            StatusCode::MISDIRECTED_REQUEST if order.generation.is_some() => AttemptEnd::NotSent,
            status if order.generation.is_some() && status.is_server_error() => AttemptEnd::Lost,
            // Nothing but events may follow in a stream that has started.
            status if self.stream.is_some() && status != StatusCode::OK => AttemptEnd::Lost,
            StatusCode::OK if self.request.streams => self.forward_stream(*response).await,
            _ => self.forward_whole(*response, order).await,
        }
    }

    /// Sends the caller a refusal: as an event if its stream has started, else as the
    /// response.
    pub async fn refuse(&mut self, refusal: &CallRefusal) {
        log::info!(
            request:? = self.request.id, cause:? = refusal.cause, run:? = refusal.run;
            "call refused"
        );
        if let Some(mut stream) = self.stream.take() {
            // The caller may have disconnected. Aborting the body shows it that the
            // response is incomplete.
            let _ = stream.send(refusal_event(refusal)).await;
            stream.abort().await;
            return;
        }
        let response = refusal_response(refusal, self.context.clock.now());
        self.send_response(response);
    }

    /// Sends the caller the recorded response; the endpoint's full response if this
    /// exchange still holds it.
    pub fn respond(&mut self, recorded: &ledger::RecordedResponse) {
        let response = match self.held_response.take() {
            Some((parts, body)) => endpoint_response(&parts, body),
            None => recorded_response(recorded),
        };
        self.send_response(response);
    }

    /// Logs an attempt that failed.
    pub fn log_failure(&self, order: &SendOrder, end: &AttemptEnd) {
        if matches!(end, AttemptEnd::Lost | AttemptEnd::NotSent) {
            log::warn!(
                request:? = self.request.id, endpoint:% = order.address, end:? = end;
                "attempt failed"
            );
        }
    }

    /// Instant by which the response must start. A stream that had started before
    /// must continue within the silence limit.
    fn response_deadline(&self, order: &SendOrder) -> ClockTime {
        match self.stream {
            Some(_) => self.context.clock.now() + self.context.times.silence_limit,
            None => order.deadline,
        }
    }

    fn build_request(&self, order: &SendOrder) -> Option<WebRequest> {
        let request = &self.request;
        let mut builder = http::Request::builder()
            .method(request.method.clone())
            .uri(request.path.as_ref());
        *builder.headers_mut()? = request.headers.clone();
        builder = builder.header(REQUEST_HEADER, request.id.clone());
        builder = self.add_group_headers(builder, order);
        builder.body(full_body(request.body.clone())).ok()
    }

    fn add_group_headers(&self, builder: Builder, order: &SendOrder) -> Builder {
        let Some(generation) = &order.generation else {
            return builder;
        };
        builder
            .header(GROUP_HEADER, generation.group.as_str())
            .header(EPOCH_HEADER, generation.epoch.0)
            .header(RESUME_HEADER, self.sent_tokens)
    }

    /// Whether a response belongs to this request: it must not carry another request's
    /// identifier, and one that reports the request as not run must carry this one's.
    fn matches_request(&self, response: &IncomingResponse) -> bool {
        let id = response.parts.headers.get(REQUEST_HEADER);
        match response.parts.status {
            StatusCode::MISDIRECTED_REQUEST => id.is_some_and(|id| *id == self.request.id),
            _ => id.is_none_or(|id| *id == self.request.id),
        }
    }

    async fn forward_whole(&mut self, response: IncomingResponse, order: &SendOrder) -> AttemptEnd {
        let (parts, body) = match response.collect(MAX_RESPONSE_BYTES, order.deadline).await {
            CollectOutcome::Response(parts, body) => (parts, body),
            CollectOutcome::NotSent | CollectOutcome::Lost => return AttemptEnd::Lost,
        };
        if order.record_response {
            let recorded = to_recorded(&parts, &body);
            self.held_response = Some((parts, body));
            return AttemptEnd::Recorded(recorded);
        }
        self.report_response_start();
        self.send_response(endpoint_response(&parts, body));
        AttemptEnd::Answered
    }

    async fn forward_stream(&mut self, mut response: IncomingResponse) -> AttemptEnd {
        if self.stream.is_none() && !self.open_stream(&response) {
            return AttemptEnd::CallerDisconnected;
        }
        let mut splitter = EventSplitter::default();
        let mut done = false;
        // Bytes that don't complete an event are no progress, however many there are.
        let mut deadline = self.context.clock.now() + self.context.times.silence_limit;
        loop {
            match response.next_chunk(deadline).await {
                ChunkOutcome::Chunk(chunk) => splitter.push(&chunk),
                ChunkOutcome::End if done => {
                    response.finish();
                    self.stream = None;
                    return AttemptEnd::Answered;
                }
                ChunkOutcome::End | ChunkOutcome::Lost => return AttemptEnd::Lost,
            }
            while let Some(event) = splitter.next_event() {
                deadline = self.context.clock.now() + self.context.times.silence_limit;
                let kind = classify(&event);
                done |= kind == EventKind::Done;
                if !self.send_event(event, kind).await {
                    return AttemptEnd::CallerDisconnected;
                }
            }
            if splitter.is_too_long() {
                return AttemptEnd::Lost;
            }
        }
    }

    fn open_stream(&mut self, endpoint_response: &IncomingResponse) -> bool {
        let (sender, body) = body_channel();
        let mut response = Response::new(body);
        *response.headers_mut() = forwarded_headers(&endpoint_response.parts.headers);
        self.stream = Some(sender);
        self.send_response(response)
    }

    /// Forwards one event; false if the caller has disconnected or doesn't accept it
    /// in time.
    async fn send_event(&mut self, event: Bytes, kind: EventKind) -> bool {
        if kind == EventKind::Token {
            self.sent_tokens += 1;
            if self.sent_tokens == 1 {
                self.report_response_start();
            }
        }
        let Some(stream) = &mut self.stream else {
            return false;
        };
        let clock = self.context.clock.as_ref();
        let deadline = clock.now() + self.context.times.client_timeout;
        let sent = with_deadline(clock, deadline, stream.send(event)).await;
        matches!(sent, Some(Ok(())))
    }

    fn report_response_start(&self) {
        let event = GatewayEvent::ResponseStarted { call: self.call };
        // The loop may have ended at the drain limit.
        let _ = self.context.events.unbounded_send(event);
    }

    fn send_response(&mut self, mut response: WebResponse) -> bool {
        let id = self.request.id.clone();
        response.headers_mut().insert(REQUEST_HEADER, id);
        match self.response_sender.take() {
            Some(sender) => sender.send(response).is_ok(),
            None => false,
        }
    }
}
