//! One call's exchange with endpoints on behalf of its caller.

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

use super::events::{EVENT_LIMIT, EventKind, EventSplitter, classify};
use super::reply::{
    REQUEST_HEADER, forwarded_headers, record_answer, recorded_reply, refusal_event, refusal_reply,
    whole_reply,
};
use crate::{AttemptEnd, CallRefusal, GatewayEvent, SendOrder};

/// Header with the group that is meant.
const GROUP_HEADER: &str = "x-bronzerun-group";
/// Header with the generation of that group.
const EPOCH_HEADER: &str = "x-bronzerun-epoch";
/// Header with the tokens that the caller has already.
const RESUME_HEADER: &str = "x-bronzerun-resume";
/// Largest whole answer in bytes.
const ANSWER_LIMIT: usize = 16 * 1_024 * 1_024;

/// Request as it goes to an endpoint.
pub struct EndpointRequest {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: Arc<str>,
    /// Headers that are passed on.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Whether the answer is a stream of events.
    pub streams: bool,
    /// Identifier of the request in both directions.
    pub id: HeaderValue,
}

/// Spans that an exchange goes by.
#[derive(Clone, Copy, Debug)]
pub struct ExchangeTimes {
    /// Silence of an endpoint after which its stream is dead.
    pub silence_limit: Duration,
    /// Time in which a caller must take the next bytes.
    pub client_timeout: Duration,
}

/// What an exchange works with.
#[derive(Clone)]
pub struct ExchangeTools {
    /// Client towards endpoints.
    pub client: WebClient,
    /// Clock that deadlines are on.
    pub clock: Rc<dyn ClockSource>,
    /// Where the loop hears of progress.
    pub events: UnboundedSender<GatewayEvent>,
    /// Spans to go by.
    pub times: ExchangeTimes,
}

/// Exchange between one caller and the endpoints that are tried for it.
pub struct CallExchange {
    call: CallId,
    request: EndpointRequest,
    tools: ExchangeTools,
    reply: Option<oneshot::Sender<WebResponse>>,
    stream: Option<BodySender>,
    tokens: usize,
    held: Option<(Parts, Bytes)>,
}

impl CallExchange {
    /// Exchange that has sent nothing in either direction.
    pub fn new(
        call: CallId,
        request: EndpointRequest,
        tools: ExchangeTools,
        reply: oneshot::Sender<WebResponse>,
    ) -> Self {
        Self {
            call,
            request,
            tools,
            reply: Some(reply),
            stream: None,
            tokens: 0,
            held: None,
        }
    }

    /// Waits until the caller leaves before it has had any answer.
    pub async fn caller_left(&mut self) {
        match &mut self.reply {
            Some(reply) => reply.cancellation().await,
            None => std::future::pending().await,
        }
    }

    /// Forgets a caller that has left.
    pub fn drop_caller(&mut self) {
        self.reply = None;
    }

    /// Makes one attempt.
    pub async fn attempt(&mut self, order: &SendOrder) -> AttemptEnd {
        let Some(request) = self.build_request(order) else {
            return AttemptEnd::NotSent;
        };
        let deadline = self.begin_by(order);
        let answer = match self
            .tools
            .client
            .call(order.address, request, deadline)
            .await
        {
            CallOutcome::Response(answer) => answer,
            CallOutcome::NotSent => return AttemptEnd::NotSent,
            CallOutcome::Lost => return AttemptEnd::Lost,
        };
        if !self.is_own(&answer) {
            return AttemptEnd::Lost;
        }
        match answer.parts.status {
            StatusCode::MISDIRECTED_REQUEST if order.place.is_some() => AttemptEnd::NotSent,
            status if order.place.is_some() && status.is_server_error() => AttemptEnd::Lost,
            StatusCode::OK if self.request.streams => self.relay(*answer).await,
            _ => self.pass_whole(*answer, order).await,
        }
    }

    /// Answers the caller with a refusal, in whatever way is still open.
    pub async fn refuse(&mut self, refusal: &CallRefusal) {
        log::info!(
            request:? = self.request.id, cause:? = refusal.cause, run:? = refusal.run;
            "a call was refused"
        );
        if let Some(mut stream) = self.stream.take() {
            // The caller may be gone; the cut tells it that the answer is not whole.
            let _ = stream.send(refusal_event(refusal)).await;
            stream.abort().await;
            return;
        }
        let reply = refusal_reply(refusal, self.tools.clock.now());
        self.send_reply(reply);
    }

    /// Answers the caller with the recorded answer, whole if it is still held.
    pub fn answer(&mut self, answer: &ledger::RecordedResponse) {
        let reply = match self.held.take() {
            Some((parts, body)) => whole_reply(&parts, body),
            None => recorded_reply(answer),
        };
        self.send_reply(reply);
    }

    /// Logs an attempt that brought the caller no whole answer.
    pub fn log_failure(&self, order: &SendOrder, end: &AttemptEnd) {
        if matches!(end, AttemptEnd::Lost | AttemptEnd::NotSent) {
            log::warn!(
                request:? = self.request.id, endpoint:% = order.address, end:? = end;
                "an attempt failed"
            );
        }
    }

    /// A stream that was begun must go on within the silence limit.
    fn begin_by(&self, order: &SendOrder) -> ClockTime {
        match self.stream {
            Some(_) => self.tools.clock.now() + self.tools.times.silence_limit,
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
        builder = self.address_group(builder, order);
        builder.body(full_body(request.body.clone())).ok()
    }

    fn address_group(&self, builder: Builder, order: &SendOrder) -> Builder {
        let Some(place) = &order.place else {
            return builder;
        };
        builder
            .header(GROUP_HEADER, place.group.as_str())
            .header(EPOCH_HEADER, place.epoch.0)
            .header(RESUME_HEADER, self.tokens)
    }

    /// An answer with another request's identifier is somebody else's.
    fn is_own(&self, answer: &IncomingResponse) -> bool {
        let id = answer.parts.headers.get(REQUEST_HEADER);
        id.is_none_or(|id| *id == self.request.id)
    }

    async fn pass_whole(&mut self, answer: IncomingResponse, order: &SendOrder) -> AttemptEnd {
        let (parts, body) = match answer.collect(ANSWER_LIMIT, order.deadline).await {
            CollectOutcome::Response(parts, body) => (parts, body),
            CollectOutcome::NotSent | CollectOutcome::Lost => return AttemptEnd::Lost,
        };
        if order.record {
            let answer = record_answer(&parts, &body);
            self.held = Some((parts, body));
            return AttemptEnd::Recorded(answer);
        }
        self.note_begin();
        self.send_reply(whole_reply(&parts, body));
        AttemptEnd::Answered
    }

    async fn relay(&mut self, mut answer: IncomingResponse) -> AttemptEnd {
        if self.stream.is_none() && !self.open_stream(&answer) {
            return AttemptEnd::CallerGone;
        }
        let mut splitter = EventSplitter::default();
        let mut done = false;
        loop {
            let deadline = self.tools.clock.now() + self.tools.times.silence_limit;
            match answer.next_chunk(deadline).await {
                ChunkOutcome::Chunk(chunk) => splitter.push(&chunk),
                ChunkOutcome::End if done => {
                    answer.finish();
                    self.stream = None;
                    return AttemptEnd::Answered;
                }
                ChunkOutcome::End | ChunkOutcome::Lost => return AttemptEnd::Lost,
            }
            while let Some(event) = splitter.next_event() {
                let kind = classify(&event);
                done |= kind == EventKind::Done;
                if !self.forward(event, kind).await {
                    return AttemptEnd::CallerGone;
                }
            }
            if splitter.pending() > EVENT_LIMIT {
                return AttemptEnd::Lost;
            }
        }
    }

    fn open_stream(&mut self, answer: &IncomingResponse) -> bool {
        let (sender, body) = body_channel();
        let mut reply = Response::new(body);
        *reply.headers_mut() = forwarded_headers(&answer.parts.headers);
        self.stream = Some(sender);
        self.send_reply(reply)
    }

    /// Passes one event on; false once the caller is gone or takes nothing.
    async fn forward(&mut self, event: Bytes, kind: EventKind) -> bool {
        if kind == EventKind::Token {
            self.tokens += 1;
            if self.tokens == 1 {
                self.note_begin();
            }
        }
        let Some(stream) = &mut self.stream else {
            return false;
        };
        let clock = self.tools.clock.as_ref();
        let deadline = clock.now() + self.tools.times.client_timeout;
        let sent = with_deadline(clock, deadline, stream.send(event)).await;
        matches!(sent, Some(Ok(())))
    }

    fn note_begin(&self) {
        let event = GatewayEvent::AnswerBegan { call: self.call };
        // The loop outlives every call but one that is cut at the drain limit.
        let _ = self.tools.events.unbounded_send(event);
    }

    fn send_reply(&mut self, mut reply: WebResponse) -> bool {
        let id = self.request.id.clone();
        reply.headers_mut().insert(REQUEST_HEADER, id);
        match self.reply.take() {
            Some(sender) => sender.send(reply).is_ok(),
            None => false,
        }
    }
}
