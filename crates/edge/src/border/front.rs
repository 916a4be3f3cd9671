//! Where clients come in.

use std::cell::Cell;
use std::rc::Rc;

use base::prelude::*;
use futures_channel::mpsc::UnboundedSender;
use futures_util::future::LocalBoxFuture;
use http::header::{CONNECTION, CONTENT_LENGTH, HOST};
use http::request::Parts;
use http::{HeaderValue, Request, Response, StatusCode, Uri};
use hyper::body::Incoming;
use intent::Route;
use net::web::{
    CollectOutcome, IncomingResponse, WebLimits, WebResponse, WebService, body_channel, full_body,
    receive_body, text_response,
};
use relay::{AttemptEnd, CallStep};

use super::events::EventBuffer;
use super::exchange::{AttemptOutcome, ClientRequest, ExchangeTools};
use super::marks::CallMarks;
use super::relayed::{CallGuard, PauseMeter, RelayedStream};
use super::reply::{refusal_reply, reject_reply, timeout_reply};
use crate::{Arrival, ArrivalOutcome, EdgeAnswer, EdgeEvent, EdgeQuestion};

/// Largest answer that is held until it is whole.
const ANSWER_LIMIT: usize = 8 * 1_024 * 1_024;
/// Silence of a stream after which the loop is asked about its server.
const STREAM_CHECK_SPAN: Duration = Duration::from_millis(170);

/// Service of the clients' address.
#[derive(Clone)]
pub(super) struct ClientFront {
    pub tools: ExchangeTools,
    pub events: UnboundedSender<EdgeEvent>,
    pub limits: WebLimits,
    /// Whether the process is about to end, so that connections should not be kept.
    pub is_closing: Rc<Cell<bool>>,
    pub next: Rc<Cell<u64>>,
}

/// Request that a route has taken.
pub(super) struct TakenCall {
    pub request: ClientRequest,
    pub route: Arc<Route>,
    arrived_at: ClockTime,
    deadline: ClockTime,
    last_event: Option<u64>,
    guard: CallGuard,
}

impl WebService for ClientFront {
    fn answer(&self, request: Request<Incoming>) -> LocalBoxFuture<'static, WebResponse> {
        let this = self.clone();
        Box::pin(async move {
            let mut reply = this.serve(request).await;
            if this.is_closing.get() {
                let close = HeaderValue::from_static("close");
                reply.headers_mut().insert(CONNECTION, close);
            }
            reply
        })
    }
}

impl ClientFront {
    async fn serve(&self, request: Request<Incoming>) -> WebResponse {
        let now = self.tools.clock.now();
        let (parts, body) = request.into_parts();
        let body = match receive_body(body, &self.limits).await {
            Ok(body) => body,
            Err(fault) => {
                log::info!("a request's body was not received: {fault}");
                return text_response(StatusCode::BAD_REQUEST, &fault.to_string());
            }
        };
        let marks = self.tools.header_codec.read_request(&parts.headers);
        let call = CallId(self.next.get());
        self.next.set(call.0 + 1);
        let id = marks.id.clone().unwrap_or_else(|| Arc::from(""));
        let arrival = Arrival {
            call,
            id: id.clone(),
            host: host_of(&parts).into(),
            path: parts.uri.path().into(),
            key: marks.key.clone(),
            model: marks.model.clone(),
            client_deadline: marks.patience.map(|patience| now + patience),
        };
        let guard = CallGuard {
            call,
            events: self.events.clone(),
        };
        let question = EdgeQuestion::Arrive(Box::new(arrival));
        let Some(EdgeAnswer::Arrival(outcome)) = self.tools.replies.request(question).await else {
            return text_response(StatusCode::SERVICE_UNAVAILABLE, "this node is about to end");
        };
        match *outcome {
            ArrivalOutcome::Rejected(reason) => {
                log::info!(id:% = id, path = parts.uri.path(), reason:? = reason; "a request was turned away");
                let reason_word = format!("{reason:?}");
                self.tools
                    .metrics
                    .count("rejected_requests", &[("reason", &reason_word)], 1);
                reject_reply(reason)
            }
            ArrivalOutcome::Taken {
                version,
                route,
                workspace,
                deadline,
                step,
            } => {
                let left = deadline.since(now).as_millis() as u64;
                let holder = workspace.as_ref().map_or("", WorkspaceName::as_str);
                log::info!(id:% = id, route:% = route.name, workspace = holder, intent = version, left, prompt = marks.prompt_tokens, answer = marks.answer_tokens; "a request was taken");
                let request = ClientRequest {
                    call,
                    id,
                    method: parts.method,
                    target: origin_form(&parts.uri),
                    headers: parts.headers,
                    body,
                    workspace,
                    is_ranked: marks.model.is_some(),
                };
                let taken = TakenCall {
                    request,
                    route,
                    arrived_at: now,
                    deadline,
                    last_event: marks.last_event,
                    guard,
                };
                let marks = CallMarks::of(&taken);
                let reply = self.run(taken, step).await;
                let outcome = reply.status().as_u16().to_string();
                marks.count(self.tools.metrics.as_ref(), &outcome);
                let span = self.tools.clock.now().since(now);
                marks.time(self.tools.metrics.as_ref(), "answer_seconds", span);
                reply
            }
        }
    }

    /// Makes attempts until one answers or the loop gives up.
    async fn run(&self, taken: TakenCall, first: CallStep) -> WebResponse {
        let mut step = first;
        // A server's own failure, in case no other server does better.
        let mut failure: Option<WebResponse> = None;
        loop {
            let order = match step {
                CallStep::Send(order) => order,
                CallStep::Refuse(refusal) => {
                    log::info!(id:% = taken.request.id, route:% = taken.route.name, reason = refusal.reason.as_str(), may_have_run = refusal.may_have_run, has_answer = failure.is_some(); "a request was given up");
                    return failure.unwrap_or_else(|| refusal_reply(&refusal));
                }
            };
            let end = match self.tools.attempt(&taken.request, &order, None).await {
                AttemptOutcome::Answered(answer) => {
                    let status = answer.parts.status;
                    if taken.route.kind.is_stream() && status.is_success() {
                        return self.relay_stream(taken, *answer);
                    }
                    match self.collect(*answer, taken.deadline).await {
                        Some(reply) => {
                            let may_improve =
                                status.is_server_error() && taken.route.kind.is_repeatable();
                            if !may_improve {
                                return reply;
                            }
                            failure = Some(reply);
                            AttemptEnd::Failed
                        }
                        None if self.tools.clock.now() >= taken.deadline => return timeout_reply(),
                        None => AttemptEnd::Lost,
                    }
                }
                AttemptOutcome::Ended(end) => end,
                AttemptOutcome::Late => {
                    log::info!(id:% = taken.request.id, route:% = taken.route.name, place:% = order.target; "a request ran out of time at its server");
                    return failure.unwrap_or_else(timeout_reply);
                }
            };
            log::info!(id:% = taken.request.id, place:% = order.target, end = end.as_str(); "an attempt ended");
            self.tools
                .metrics
                .count("ended_attempts", &[("end", end.as_str())], 1);
            let question = EdgeQuestion::Ended(taken.request.call, end);
            step = match self.tools.replies.request(question).await {
                Some(EdgeAnswer::Step(step)) => step,
                _ => return text_response(StatusCode::BAD_GATEWAY, "this node is about to end"),
            };
        }
    }

    /// Reads an answer whole; nothing of one that breaks off reaches the client.
    async fn collect(&self, answer: IncomingResponse, deadline: ClockTime) -> Option<WebResponse> {
        match answer.collect(ANSWER_LIMIT, deadline).await {
            CollectOutcome::Response(parts, body) => {
                let mut reply = Response::new(full_body(body));
                *reply.status_mut() = parts.status;
                *reply.headers_mut() = self.tools.header_codec.response_headers(&parts.headers);
                Some(reply)
            }
            CollectOutcome::NotSent | CollectOutcome::Lost => None,
        }
    }

    /// Starts to pass a stream on.
    fn relay_stream(&self, taken: TakenCall, answer: IncomingResponse) -> WebResponse {
        let (sender, body) = body_channel();
        let mut reply = Response::new(body);
        *reply.status_mut() = answer.parts.status;
        *reply.headers_mut() = self
            .tools
            .header_codec
            .response_headers(&answer.parts.headers);
        let is_resumable = taken.route.kind.is_repeatable();
        if is_resumable {
            // Another server may write the rest, with events of other lengths.
            reply.headers_mut().remove(CONTENT_LENGTH);
        }
        let stream = RelayedStream {
            marks: CallMarks::of(&taken),
            tools: self.tools.clone(),
            request: taken.request,
            route: taken.route.name.clone(),
            pauses: PauseMeter::new(taken.arrived_at),
            guard: taken.guard,
            deadline: taken.deadline,
            check_span: STREAM_CHECK_SPAN,
            buffer: EventBuffer::after(taken.last_event),
            is_resumable,
        };
        monoio::spawn(stream.run(answer, sender));
        reply
    }
}

fn host_of(parts: &Parts) -> &str {
    let header = parts.headers.get(HOST).and_then(|host| host.to_str().ok());
    header.or_else(|| parts.uri.host()).unwrap_or_default()
}

/// Target without scheme and host, as servers expect it.
fn origin_form(uri: &Uri) -> Uri {
    let target = uri.path_and_query().cloned();
    target.map_or_else(|| uri.clone(), Uri::from)
}
