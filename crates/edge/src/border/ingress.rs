//! Service for clients.

use std::cell::Cell;
use std::rc::Rc;

use base::prelude::*;
use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use http::header::{CONNECTION, CONTENT_LENGTH, HOST};
use http::request::Parts;
use http::{HeaderValue, Request, Response, StatusCode, Uri};
use intent::{Route, TokenCounts};
use net::sleep_until;
use net::web::{
    ChunkOutcome, CollectOutcome, IncomingResponse, ReceiveError, RequestBody, UnreadRequest,
    WebLimits, WebResponse, WebService, body_channel, full_body, receive_request, text_response,
};
use quarantine::CallSuspects;
use relay::{AttemptEnd, AttemptId, CallStep, Refusal};

use super::attempt::{AttemptContext, ClientRequest};
use super::attempts::{AttemptSignal, OpenAttempts};
use super::digest::request_digest;
use super::events::EventBuffer;
use super::labels::RequestLabels;
use super::responses::{
    no_memory_response, refusal_response, rejection_response, stopped_response, timeout_response,
    unproven_response,
};
use super::stream::{CallGuard, PauseMeter, RelayedStream, ResponseKind};
use crate::{Arrival, ArrivalOutcome, EdgeEvent, EdgeQuestion, EdgeReply};

/// Largest response that is buffered.
const MAX_BUFFERED_BYTES: usize = 8 * 1_024 * 1_024;

/// Service of the client listener.
#[derive(Clone)]
pub(super) struct ClientService {
    pub context: AttemptContext,
    pub limits: WebLimits,
    /// Whether the node is stopping, so that connections are closed after a response.
    pub is_closing: Rc<Cell<bool>>,
    pub next_call: Rc<Cell<u64>>,
}

/// Request that was accepted by a route.
pub(super) struct AcceptedRequest {
    pub request: Rc<ClientRequest>,
    pub route: Arc<Route>,
    arrived_at: ClockTime,
    deadline: ClockTime,
    last_event: Option<u64>,
    guard: CallGuard,
}

impl WebService for ClientService {
    fn answer(&self, request: Request<RequestBody>) -> LocalBoxFuture<'static, WebResponse> {
        let service = self.clone();
        Box::pin(async move {
            let mut response = service.serve(request).await;
            if service.is_closing.get() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            response
        })
    }
}

impl ClientService {
    async fn serve(&self, request: Request<RequestBody>) -> WebResponse {
        let now = self.context.clock.now();
        let held = match receive_request(request, &self.limits).await {
            Ok(held) => held,
            Err(UnreadRequest { error, proof }) => {
                log::info!("request body not received: {error}");
                if error == ReceiveError::NoMemory {
                    return no_memory_response(proof);
                }
                return text_response(StatusCode::BAD_REQUEST, &error.to_string());
            }
        };
        let parts = held.request().parts();
        let metadata = self.context.header_codec.read_request(&parts.headers);
        let call = take_call(&self.next_call);
        let id = metadata.id.clone().unwrap_or_else(|| Arc::from(""));
        let digest = request_digest(parts, held.request().body());
        let arrival = Arrival {
            call,
            arrived_at: now,
            id: id.clone(),
            host: host_of(parts).into(),
            path: parts.uri.path().into(),
            key: metadata.key.clone(),
            model: metadata.model.clone(),
            prompt: metadata.prompt.clone(),
            tokens: TokenCounts {
                prompt: metadata.prompt_tokens,
                answer: metadata.answer_tokens,
            },
            is_resumed: metadata.last_event.is_some(),
            digest,
            client_deadline: metadata.client_timeout.map(|timeout| now + timeout),
        };
        let guard = CallGuard {
            call,
            events: self.context.events.clone(),
        };
        let Some(outcome) = self.arrive(arrival).await else {
            return stopped_response(held.give_up());
        };
        match outcome {
            ArrivalOutcome::Rejected(reason) => {
                log::info!(id:% = id, path = parts.uri.path(), reason = reason.as_str(); "request rejected");
                self.context
                    .metrics
                    .count("rejected_requests", &[("reason", reason.as_str())], 1);
                rejection_response(reason, held.give_up())
            }
            ArrivalOutcome::Accepted {
                version,
                route,
                workspace,
                deadline,
                step,
            } => {
                let remaining_ms = deadline.since(now).as_millis() as u64;
                let workspace_name = workspace.as_ref().map_or("", WorkspaceName::as_str);
                log::info!(id:% = id, route:% = route.name, workspace = workspace_name, intent = version, left = remaining_ms, prompt = metadata.prompt_tokens, answer = metadata.answer_tokens; "request accepted");
                let (parts, body) = held.release().split();
                let request = ClientRequest {
                    call,
                    id,
                    method: parts.method,
                    uri: origin_form(&parts.uri),
                    headers: parts.headers,
                    body,
                    suspects: CallSuspects {
                        parts: metadata.prompt,
                        digest: digest.of_workspace(workspace.as_ref()),
                    },
                    is_stream: route.kind.is_stream(),
                    workspace,
                    version,
                    is_ranked: metadata.model.is_some(),
                };
                let accepted = AcceptedRequest {
                    request: Rc::new(request),
                    route,
                    arrived_at: now,
                    deadline,
                    last_event: metadata.last_event,
                    guard,
                };
                let labels = RequestLabels::of(&accepted);
                let response = self.attempt_until_done(accepted, step).await;
                let status = response.status().as_u16().to_string();
                labels.count_response(self.context.metrics.as_ref(), &status);
                let duration = self.context.clock.now().since(now);
                labels.record_duration(self.context.metrics.as_ref(), "answer_seconds", duration);
                response
            }
        }
    }

    /// Asks the event loop about a new request, again while the request has to wait.
    async fn arrive(&self, arrival: Arrival) -> Option<ArrivalOutcome> {
        loop {
            let question = EdgeQuestion::Arrive(Box::new(arrival.clone()));
            match self.context.replies.request(question).await {
                Some(EdgeReply::Arrival(outcome)) => return Some(*outcome),
                Some(EdgeReply::Waiting { until }) => {
                    sleep_until(self.context.clock.as_ref(), until).await;
                }
                _ => return None,
            }
        }
    }

    /// Makes attempts until one gets a response or the event loop refuses another.
    async fn attempt_until_done(&self, accepted: AcceptedRequest, first: CallStep) -> WebResponse {
        let (request, deadline) = (accepted.request.clone(), accepted.deadline);
        let mut attempts = OpenAttempts::new(self.context.clone(), request, deadline);
        let mut step = first;
        // Error response of a server, which is returned if no other server does better.
        let mut failure: Option<(HostName, WebResponse)> = None;
        loop {
            match step {
                CallStep::Send(order) => attempts.send(order, None),
                CallStep::Wait => {}
                CallStep::Refuse(refusal) => {
                    log::info!(id:% = accepted.request.id, route:% = accepted.route.name, reason = refusal.reason.as_str(), may_have_run = refusal.may_have_run(), has_answer = failure.is_some(); "request failed");
                    self.report_admission(&accepted.request.id, &refusal);
                    let own = refusal_response(&refusal);
                    return self.settle(&accepted, failure, own).await;
                }
            }
            let (order, end) = match attempts.next(None).await {
                AttemptSignal::Response(order, incoming) => {
                    let status = incoming.parts.status;
                    if accepted.route.kind.is_stream() && status.is_success() {
                        let attempt = order.attempt;
                        let buffer = EventBuffer::after(accepted.last_event);
                        let is_alone = attempts.count() == 0;
                        attempts.read(order, incoming, buffer);
                        if is_alone {
                            return self.relay_stream(accepted, attempts, attempt, None);
                        }
                        // The head of the first server that sends an event is the client's.
                        step = CallStep::Wait;
                        continue;
                    }
                    let response = self.clone().collect(*incoming, accepted.deadline);
                    attempts.collect(order, Box::pin(response));
                    step = CallStep::Wait;
                    continue;
                }
                AttemptSignal::Collected(order, Some(response)) => {
                    let is_false = self.is_false_promise(&accepted, response.status()).await;
                    // The event loop ends only when the process is about to exit.
                    let answered = EdgeEvent::Completed(accepted.request.call);
                    let _ = self.context.events.unbounded_send(answered);
                    if is_false {
                        return self.replace_response(&accepted, &order.target, &response);
                    }
                    let is_failure = response.status().is_server_error();
                    if !is_failure || !accepted.route.kind.is_repeatable() {
                        return response;
                    }
                    failure = Some((order.target.clone(), response));
                    (order, AttemptEnd::Failed)
                }
                AttemptSignal::Collected(..) if self.context.clock.now() >= accepted.deadline => {
                    return self.settle(&accepted, failure, timeout_response()).await;
                }
                AttemptSignal::Collected(order, None) => (order, AttemptEnd::Lost),
                AttemptSignal::Ended(order, end) => (order, end),
                AttemptSignal::Chunk(attempt, ChunkOutcome::Chunk(bytes)) => {
                    let pushed = attempts.buffer(attempt).map(|buffer| buffer.push(&bytes));
                    match pushed {
                        Some(Ok(events)) if !events.is_empty() => {
                            attempts.keep_only(attempt);
                            return self.relay_stream(accepted, attempts, attempt, Some(events));
                        }
                        Some(Err(error)) => {
                            log::warn!(id:% = accepted.request.id; "stream of the server given up: {error}");
                            let Some((order, _)) = attempts.remove(attempt) else {
                                step = CallStep::Wait;
                                continue;
                            };
                            (order, AttemptEnd::Cut)
                        }
                        _ => {
                            step = CallStep::Wait;
                            continue;
                        }
                    }
                }
                AttemptSignal::Chunk(attempt, ChunkOutcome::End | ChunkOutcome::Lost) => {
                    let Some((order, _)) = attempts.remove(attempt) else {
                        step = CallStep::Wait;
                        continue;
                    };
                    (order, AttemptEnd::Cut)
                }
                AttemptSignal::DeadlinePassed => {
                    log::info!(id:% = accepted.request.id, route:% = accepted.route.name; "request timed out at the server");
                    return self.settle(&accepted, failure, timeout_response()).await;
                }
            };
            log::info!(id:% = accepted.request.id, place:% = order.target, attempt = order.attempt.number, end = end.as_str(); "attempt failed");
            self.context
                .metrics
                .count("ended_attempts", &[("end", end.as_str())], 1);
            let question = EdgeQuestion::Ended(order.attempt, end);
            step = match self.context.replies.request(question).await {
                Some(EdgeReply::Step(step)) => step,
                _ => return text_response(StatusCode::BAD_GATEWAY, "this node is about to end"),
            };
        }
    }

    /// Reports a request that was not admitted.
    fn report_admission(&self, id: &str, refusal: &Refusal) {
        let Some(admission) = refusal.admission else {
            return;
        };
        let reason = refusal.reason.as_str();
        let priority = admission.priority.to_string();
        let wait_ms = admission.predicted_wait.as_millis() as u64;
        let retry_ms = refusal.retry_after.map(|delay| delay.as_millis() as u64);
        log::info!(id, reason, priority = admission.priority, wait_ms, retry_ms:?; "request not admitted");
        let labels = [("reason", reason), ("priority", priority.as_str())];
        let metrics = self.context.metrics.as_ref();
        metrics.count("refused_admissions", &labels, 1);
    }

    /// Whether a status promises a client something about its request that the server doesn't report.
    ///
    /// Reports end an attempt before its response is read.
    async fn is_false_promise(&self, accepted: &AcceptedRequest, status: StatusCode) -> bool {
        if !self.context.header_codec.promises_not_run(status) {
            return false;
        }
        let question = EdgeQuestion::MayRepeat(accepted.request.call);
        let reply = self.context.replies.request(question).await;
        !matches!(reply, Some(EdgeReply::MayRepeat(true)))
    }

    /// Response in place of a server's, whose status is a false promise.
    fn replace_response(
        &self,
        accepted: &AcceptedRequest,
        place: &HostName,
        response: &WebResponse,
    ) -> WebResponse {
        log::warn!(id:% = accepted.request.id, place:% = place, status = response.status().as_u16(); "response replaced: its status says that the request was not run, which the server doesn't report");
        self.context.metrics.count("replaced_responses", &[], 1);
        unproven_response()
    }

    /// Final response: a server's error, unless its status has become a false promise meanwhile, or
    /// the node's own if there is none.
    async fn settle(
        &self,
        accepted: &AcceptedRequest,
        failure: Option<(HostName, WebResponse)>,
        own: WebResponse,
    ) -> WebResponse {
        match failure {
            None => own,
            Some((place, failure)) if self.is_false_promise(accepted, failure.status()).await => {
                self.replace_response(accepted, &place, &failure)
            }
            Some((_, failure)) => failure,
        }
    }

    /// Buffers a response; nothing of an incomplete one reaches the client.
    async fn collect(self, incoming: IncomingResponse, deadline: ClockTime) -> Option<WebResponse> {
        match incoming.collect(MAX_BUFFERED_BYTES, deadline).await {
            CollectOutcome::Response(parts, body) => {
                let mut response = Response::new(full_body(body));
                *response.status_mut() = parts.status;
                *response.headers_mut() =
                    self.context.header_codec.response_headers(&parts.headers);
                Some(response)
            }
            CollectOutcome::NotSent(_)
            | CollectOutcome::Lost
            | CollectOutcome::Discarded
            | CollectOutcome::Incomplete => None,
        }
    }

    /// Starts to relay the stream of an attempt, with the events that were read already.
    fn relay_stream(
        &self,
        accepted: AcceptedRequest,
        mut attempts: OpenAttempts,
        attempt: AttemptId,
        events: Option<Bytes>,
    ) -> WebResponse {
        let (sender, body) = body_channel();
        let mut response = Response::new(body);
        let Some(head) = attempts.head(attempt) else {
            return text_response(StatusCode::BAD_GATEWAY, "the server's answer was lost");
        };
        *response.status_mut() = head.status;
        *response.headers_mut() = self.context.header_codec.response_headers(&head.headers);
        let kind = ResponseKind::of(head);
        let is_resumable = accepted.route.kind.is_repeatable();
        // Another server may send the rest, with events of other lengths, and a stream that was
        // broken off must not look complete because it has the announced length.
        response.headers_mut().remove(CONTENT_LENGTH);
        attempts.begin_answer();
        let last_event = attempts.buffer(attempt).and_then(|buffer| buffer.last_id());
        let stream = RelayedStream {
            labels: RequestLabels::of(&accepted),
            context: self.context.clone(),
            request: accepted.request,
            attempts,
            route: accepted.route.name.clone(),
            pauses: PauseMeter::new(accepted.arrived_at),
            guard: accepted.guard,
            deadline: accepted.deadline,
            last_event,
            kind,
            is_resumable,
            is_answered: false,
            progress_sent_at: None,
        };
        let first = events.map(|events| (attempt, events));
        monoio::spawn(stream.run(first, sender));
        response
    }
}

/// Next number of a request within this process.
pub(super) fn take_call(next_call: &Cell<u64>) -> CallId {
    let call = CallId(next_call.get());
    next_call.set(call.0 + 1);
    call
}

/// Requested host name.
pub(super) fn host_of(parts: &Parts) -> &str {
    let header = parts.headers.get(HOST).and_then(|host| host.to_str().ok());
    header.or_else(|| parts.uri.host()).unwrap_or_default()
}

/// URI without scheme and host (origin form).
fn origin_form(uri: &Uri) -> Uri {
    let target = uri.path_and_query().cloned();
    target.map_or_else(|| uri.clone(), Uri::from)
}
