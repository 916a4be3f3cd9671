//! Forwarding of one call's request to endpoints and of the response to its caller.

use std::pin::pin;
use std::rc::Rc;

use base::prelude::*;
use bytes::Bytes;
use futures_channel::mpsc::UnboundedSender;
use futures_channel::oneshot;
use futures_util::future::{Either, select};
use http::response::Parts;
use http::{Response, StatusCode};
use net::web::{
    BodySender, CallOutcome, CollectOutcome, IncomingResponse, WebClient, WebResponse,
    body_channel, drop_request,
};
use net::with_deadline;

use super::attempts::{AttemptSignal, OpenAttempt, OpenAttempts};
use super::events::{EventKind, classify};
use super::request::EndpointRequest;
use super::response::{
    REQUEST_HEADER, endpoint_response, forwarded_headers, recorded_response, refusal_event,
    refusal_response, run_text, to_recorded,
};
use crate::{AttemptEnd, AttemptNumber, CallRefusal, GatewayEvent, SendOrder};

/// Largest response that isn't streamed, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 * 1_024 * 1_024;

/// Timeouts of an exchange.
#[derive(Clone, Copy, Debug)]
pub struct ExchangeTimes {
    /// Time without an event after which a stream is silent.
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
    attempts: OpenAttempts,
    /// Attempt whose stream has had its last event.
    done: Option<AttemptNumber>,
    sent_tokens: usize,
    held_response: Option<(Parts, Bytes)>,
}

/// What an exchange has to handle next.
pub(super) enum ExchangeSignal {
    /// Signal of an attempt.
    Attempt(Box<AttemptSignal>),
    /// The caller has disconnected.
    CallerDisconnected,
}

/// Whether an exchange goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ExchangeProgress {
    /// More steps follow.
    Open,
    /// The caller has the whole response.
    Answered,
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
            attempts: OpenAttempts::default(),
            done: None,
            sent_tokens: 0,
            held_response: None,
        }
    }

    /// Sends the request to an endpoint, unless an earlier attempt goes on again.
    pub fn send(&mut self, order: SendOrder) {
        let request = self.request.to_web_request(&order, self.sent_tokens);
        let request = match request {
            Ok(request) if !self.attempts.has_active() => request,
            Ok(request) => {
                let proof = drop_request(request);
                return self.report_end(&order, AttemptEnd::NotSent(proof));
            }
            Err(proof) => return self.report_end(&order, AttemptEnd::NotSent(proof)),
        };
        let client = self.context.client.clone();
        let (address, deadline) = (order.address, order.deadline);
        let outcome = async move { client.call(address, request, deadline).await };
        let silent_at = self.stream.as_ref().map(|_| self.silent_at());
        let attempt = OpenAttempt::sent(order, Box::pin(outcome), silent_at);
        self.attempts.add(attempt);
    }

    /// Aborts an attempt, if it is open.
    pub fn abort(&mut self, attempt: AttemptNumber) {
        if let Some(open) = self.attempts.remove(attempt) {
            self.report_end(&open.order, AttemptEnd::Lost);
        }
    }

    /// Aborts all attempts.
    pub fn abort_all(&mut self) {
        for open in self.attempts.remove_all() {
            self.give_up(&open.order);
        }
    }

    /// Forwards nothing of an attempt until it is resumed.
    pub fn suspend(&mut self, attempt: AttemptNumber) {
        log::info!(request:? = self.request.id, attempt = attempt.0; "attempt suspended");
        self.attempts.suspend(attempt);
    }

    /// Forwards the response of a suspended attempt again.
    pub fn resume(&mut self, attempt: AttemptNumber) {
        log::info!(request:? = self.request.id, attempt = attempt.0; "attempt resumed");
        let silent_at = self.silent_at();
        self.attempts.resume(attempt, silent_at);
    }

    /// Waits for what comes next. Nothing is lost if the future is dropped.
    ///
    /// A caller that disconnects is noticed while no response is expected to go on.
    pub async fn wait(&mut self) -> ExchangeSignal {
        let has_active = self.attempts.has_active();
        let clock = self.context.clock.clone();
        let signal = pin!(self.attempts.wait(clock.as_ref()));
        if has_active {
            return ExchangeSignal::Attempt(Box::new(signal.await));
        }
        let disconnected = caller_disconnected(&mut self.response_sender, &mut self.stream);
        match select(signal, pin!(disconnected)).await {
            Either::Left((signal, _)) => ExchangeSignal::Attempt(Box::new(signal)),
            Either::Right(_) => ExchangeSignal::CallerDisconnected,
        }
    }

    /// Handles what came.
    pub async fn handle(&mut self, signal: ExchangeSignal) -> ExchangeProgress {
        let signal = match signal {
            ExchangeSignal::Attempt(signal) => *signal,
            ExchangeSignal::CallerDisconnected => return self.drop_caller(),
        };
        match signal {
            AttemptSignal::Response(order, outcome) => self.accept_response(order, outcome),
            AttemptSignal::Collected(order, outcome) => self.forward_whole(&order, outcome),
            AttemptSignal::Event(attempt, event) => self.forward_event(attempt, event).await,
            AttemptSignal::StreamEnded(attempt) => self.end_stream(attempt),
            AttemptSignal::StreamLost(attempt) => {
                self.abort(attempt);
                ExchangeProgress::Open
            }
            AttemptSignal::Silent(attempt) => self.report_silence(attempt),
        }
    }

    /// Drops the response channel of a caller that has disconnected.
    fn drop_caller(&mut self) -> ExchangeProgress {
        self.response_sender = None;
        self.stream = None;
        self.report(GatewayEvent::CallerDisconnected { call: self.call });
        ExchangeProgress::Open
    }

    fn accept_response(&mut self, order: SendOrder, outcome: CallOutcome) -> ExchangeProgress {
        let response = match outcome {
            CallOutcome::Response(response) => response,
            CallOutcome::Lost | CallOutcome::Discarded => {
                self.report_end(&order, AttemptEnd::Lost);
                return ExchangeProgress::Open;
            }
            CallOutcome::NotSent(proof) | CallOutcome::Withheld(proof) => {
                self.report_end(&order, AttemptEnd::NotSent(proof));
                return ExchangeProgress::Open;
            }
        };
        match response.parts.status {
            StatusCode::MISDIRECTED_REQUEST if order.generation.is_some() => {
                let proof = response.not_run(true);
                let end = proof.map_or(AttemptEnd::Lost, AttemptEnd::NotSent);
                self.report_end(&order, end);
            }
            status if order.generation.is_some() && status.is_server_error() => {
                self.report_end(&order, AttemptEnd::Lost);
            }
            // Nothing but events may follow in a stream that has started.
            status if self.stream.is_some() && status != StatusCode::OK => {
                self.report_end(&order, AttemptEnd::Lost);
            }
            StatusCode::OK if self.request.streams => return self.read_stream(order, response),
            _ => {
                let whole = response.collect(MAX_RESPONSE_BYTES, order.deadline);
                let attempt = OpenAttempt::collecting(order, Box::pin(whole));
                self.attempts.add(attempt);
            }
        }
        ExchangeProgress::Open
    }

    fn read_stream(
        &mut self,
        order: SendOrder,
        response: Box<IncomingResponse>,
    ) -> ExchangeProgress {
        if self.stream.is_none() && !self.open_stream(&response) {
            return self.drop_caller();
        }
        let silent_at = self.silent_at();
        let attempt = OpenAttempt::streaming(order, response, silent_at);
        self.attempts.add(attempt);
        ExchangeProgress::Open
    }

    /// Sends the caller a refusal: as an event if its stream has started, else as the
    /// response.
    pub async fn refuse(&mut self, refusal: &CallRefusal) {
        log::info!(
            request:? = self.request.id, cause:? = refusal.cause, run = run_text(refusal.run);
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

    /// Instant at which a stream without a further event is silent.
    fn silent_at(&self) -> ClockTime {
        self.context.clock.now() + self.context.times.silence_limit
    }

    fn forward_whole(&mut self, order: &SendOrder, outcome: CollectOutcome) -> ExchangeProgress {
        let (parts, body) = match outcome {
            CollectOutcome::Response(parts, body) if self.stream.is_none() => (parts, body),
            _ => {
                self.report_end(order, AttemptEnd::Lost);
                return ExchangeProgress::Open;
            }
        };
        if order.record_response {
            let recorded = to_recorded(&parts, &body);
            self.held_response = Some((parts, body));
            self.report_end(order, AttemptEnd::Recorded(recorded));
            return ExchangeProgress::Open;
        }
        self.report_response_start();
        self.send_response(endpoint_response(&parts, body));
        self.report_end(order, AttemptEnd::Answered);
        ExchangeProgress::Answered
    }

    /// Forwards an event. The first attempt that goes on ends the others.
    async fn forward_event(&mut self, attempt: AttemptNumber, event: Bytes) -> ExchangeProgress {
        self.keep_only(attempt);
        let kind = classify(&event);
        if kind == EventKind::Done {
            self.done = Some(attempt);
        }
        if self.send_event(event, kind).await {
            // Nothing was read while the caller was not ready.
            self.attempts.record_event(attempt, self.silent_at());
            ExchangeProgress::Open
        } else {
            self.drop_caller()
        }
    }

    fn keep_only(&mut self, attempt: AttemptNumber) {
        let silent_at = self.silent_at();
        let was_silent = self.attempts.record_event(attempt, silent_at);
        let others = self.attempts.remove_others(attempt);
        if was_silent || !others.is_empty() {
            log::info!(request:? = self.request.id, attempt = attempt.0; "stream goes on");
            let call = self.call;
            self.report(GatewayEvent::AttemptProgressed { call, attempt });
        }
        for other in others {
            self.give_up(&other.order);
        }
    }

    fn end_stream(&mut self, attempt: AttemptNumber) -> ExchangeProgress {
        let is_done = self.done == Some(attempt);
        let Some(open) = self.attempts.remove(attempt) else {
            return ExchangeProgress::Open;
        };
        if !is_done {
            self.report_end(&open.order, AttemptEnd::Lost);
            return ExchangeProgress::Open;
        }
        self.stream = None;
        self.report_end(&open.order, AttemptEnd::Answered);
        if let Some(response) = open.into_response() {
            response.finish();
        }
        ExchangeProgress::Answered
    }

    fn report_silence(&mut self, attempt: AttemptNumber) -> ExchangeProgress {
        if let Some(order) = self.attempts.order(attempt) {
            log::info!(
                request:? = self.request.id, endpoint:% = order.address;
                "stream is silent"
            );
            // Whatever silenced this connection may have silenced the idle ones, too.
            self.context.client.drop_idle(order.address);
        }
        let call = self.call;
        self.report(GatewayEvent::AttemptSilent { call, attempt });
        ExchangeProgress::Open
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
        self.report(GatewayEvent::ResponseStarted { call: self.call });
    }

    /// Reports an attempt that is given up although it may go on.
    fn give_up(&self, order: &SendOrder) {
        log::info!(
            request:? = self.request.id, endpoint:% = order.address;
            "attempt given up"
        );
        let (call, attempt, end) = (self.call, order.attempt, AttemptEnd::Lost);
        self.report(GatewayEvent::AttemptEnded { call, attempt, end });
    }

    /// Reports the end of an attempt, and logs one that failed.
    fn report_end(&self, order: &SendOrder, end: AttemptEnd) {
        if matches!(end, AttemptEnd::Lost | AttemptEnd::NotSent(_)) {
            log::warn!(
                request:? = self.request.id, endpoint:% = order.address, end = end.as_str();
                "attempt failed"
            );
        }
        let (call, attempt) = (self.call, order.attempt);
        self.report(GatewayEvent::AttemptEnded { call, attempt, end });
    }

    fn report(&self, event: GatewayEvent) {
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

/// Waits until the caller disconnects; for ever if it has no open connection any more.
async fn caller_disconnected(
    response_sender: &mut Option<oneshot::Sender<WebResponse>>,
    stream: &mut Option<BodySender>,
) {
    match (response_sender, stream) {
        (Some(sender), _) => sender.cancellation().await,
        (None, Some(stream)) => stream.closed().await,
        (None, None) => std::future::pending().await,
    }
}
