//! Requests that one node passes on for another that reaches no server.
//!
//! The node that took the request from its client decides everything: target, deadline, retries,
//! limits and where a stream is resumed. The other one only carries one attempt, once: it sends
//! the request to the server as it came and streams the response back. A body that breaks off is
//! aborted, so that it never looks complete, and a client's disconnect closes both connections.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use base::prelude::*;
use futures_util::future::LocalBoxFuture;
use http::header::{CONNECTION, TRANSFER_ENCODING};
use http::{HeaderMap, HeaderName, Request, Response, StatusCode};
use net::web::{
    CallOutcome, IncomingResponse, RequestBody, SendGate, WebLimits, WebRequest, WebResponse,
    WebService, body_channel, empty_body, full_body, receive_body,
};
use notices::ServerNotice;
use relay::AttemptId;

use super::attempt::{AttemptContext, is_answer};
use super::carried_answer::{AnswerKind, CarriedAnswer};
use super::gate::RepeatGate;
use super::ingress::{host_of, take_call};
use super::pass_wire::{PassEnd, PassWire, PassedHead};
use super::stream::CallGuard;
use crate::{EdgeEvent, EdgeQuestion, EdgeReply, PassDecision, PassRequest};

/// Header that concerns one connection only and has no constant.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Attempt that this node carries for another one.
struct PassOrder {
    request: PassRequest,
    deadline: ClockTime,
    /// Whether it is answered by a stream of events.
    is_stream: bool,
    guard: CallGuard,
    /// Whether this node's newer version of the configuration lets the request run once only.
    is_once_only: bool,
}

/// Service for requests of other nodes.
#[derive(Clone)]
pub(super) struct PassService {
    pub context: AttemptContext,
    pub limits: WebLimits,
    pub next_call: Rc<Cell<u64>>,
}

impl PassOrder {
    /// What this node states about the response.
    fn head(&self) -> PassedHead {
        PassedHead {
            is_once_only: self.is_once_only,
            ..PassedHead::default()
        }
    }
}

impl WebService for PassService {
    fn answer(&self, request: Request<RequestBody>) -> LocalBoxFuture<'static, WebResponse> {
        let service = self.clone();
        Box::pin(async move { service.pass_on(request).await })
    }
}

impl PassService {
    async fn pass_on(&self, request: Request<RequestBody>) -> WebResponse {
        let context = &self.context;
        let (mut parts, body) = request.into_parts();
        let Ok(wire) = PassWire::try_from(&parts.headers) else {
            return ended_response(PassEnd::NotPassedOn, PassedHead::default());
        };
        PassWire::remove(&mut parts.headers);
        let deadline = context.clock.now() + Duration::from_millis(wire.time_left_ms);
        let Ok(body) = receive_body(body, &self.limits).await else {
            return ended_response(PassEnd::NotPassedOn, PassedHead::default());
        };
        let call = take_call(&self.next_call);
        let request = PassRequest {
            call,
            id: wire.id,
            run: wire.run,
            host: host_of(&parts).into(),
            path: parts.uri.path().into(),
            version: wire.config_version,
            is_repeat: wire.is_repeat,
            suspects: wire.suspects,
        };
        let guard = CallGuard {
            call,
            events: context.events.clone(),
        };
        let question = EdgeQuestion::PassOn(Box::new(request.clone()));
        let (address, is_once_only) = match context.replies.request(question).await {
            Some(EdgeReply::Pass(PassDecision::Send {
                address,
                is_once_only,
            })) => (address, is_once_only),
            Some(EdgeReply::Pass(PassDecision::Quarantined)) => {
                return ended_response(PassEnd::Quarantined, PassedHead::default());
            }
            Some(EdgeReply::Pass(PassDecision::Withhold)) => {
                log::info!(id:% = request.id, place:% = request.run.server; "request not passed on: it may run once only");
                return withheld_response();
            }
            _ => return ended_response(PassEnd::NotPassedOn, PassedHead::default()),
        };
        log::info!(id:% = request.id, place:% = request.run.server; "request passed on for another node");
        context.metrics.count("passed_requests", &[], 1);
        let order = PassOrder {
            request,
            deadline,
            is_stream: wire.is_stream,
            guard,
            is_once_only,
        };
        let mut forwarded = WebRequest::new(full_body(body));
        *forwarded.method_mut() = parts.method;
        *forwarded.uri_mut() = parts.uri;
        remove_connection_headers(&mut parts.headers);
        *forwarded.headers_mut() = parts.headers;
        self.send(order, address, forwarded).await
    }

    /// Sends the request to the server, and starts to stream the response back.
    async fn send(
        &self,
        order: PassOrder,
        address: SocketAddr,
        request: WebRequest,
    ) -> WebResponse {
        let context = &self.context;
        let attempt = AttemptId {
            call: order.request.call,
            number: 1,
        };
        let gate = order.request.is_repeat.then(|| RepeatGate {
            replies: context.replies.clone(),
            attempt,
        });
        let gate = gate.as_ref().map(|gate| gate as &dyn SendGate);
        let outcome = context
            .client
            .call_gated(address, request, order.deadline, gate);
        match outcome.await {
            CallOutcome::Response(response) => self.relay_response(*response, order),
            CallOutcome::NotSent(_) => self.fail(&order, PassEnd::NotSent),
            CallOutcome::Withheld(_) => withheld_response(),
            CallOutcome::Lost if self.context.clock.now() >= order.deadline => {
                self.fail(&order, PassEnd::Lost)
            }
            CallOutcome::Lost => self.report_crash(&order).await,
            // The server lives, so the attempt says nothing against it.
            CallOutcome::Discarded => ended_response(PassEnd::Discarded, order.head()),
        }
    }

    fn fail(&self, order: &PassOrder, end: PassEnd) -> WebResponse {
        let server = &order.request.run.server;
        log::info!(id:% = order.request.id, place:% = server, end = end.as_str(); "passed request failed");
        let failed = EdgeEvent::PassFailed(server.clone());
        // The event loop ends only when the process is about to exit.
        let _ = self.context.events.unbounded_send(failed);
        ended_response(end, order.head())
    }

    /// Reports that the server broke its connection before a response.
    async fn report_crash(&self, order: &PassOrder) -> WebResponse {
        log::info!(id:% = order.request.id, place:% = order.request.run.server; "server broke the connection of a passed request");
        let question = EdgeQuestion::PassLost(order.request.call);
        let reply = self.context.replies.request(question).await;
        let is_crash_reported = matches!(reply, Some(EdgeReply::PassLost { is_reported: true }));
        let head = PassedHead {
            is_crash_reported,
            ..order.head()
        };
        ended_response(PassEnd::Lost, head)
    }

    /// Starts to stream a response back, and notes what the server announces in it.
    fn relay_response(&self, incoming: IncomingResponse, order: PassOrder) -> WebResponse {
        let parts = &incoming.parts;
        let metadata = self
            .context
            .header_codec
            .read_response(parts.status, &parts.headers);
        if !metadata.is_misdirected && metadata.notice != ServerNotice::default() {
            // The event loop ends only when the process is about to exit.
            let _ = self.context.events.unbounded_send(EdgeEvent::Announced {
                run: order.request.run.clone(),
                id: order.request.id.clone(),
                notice: metadata.notice,
            });
        }
        let (sender, body) = body_channel();
        let mut response = Response::new(body);
        *response.status_mut() = parts.status;
        *response.headers_mut() = parts.headers.clone();
        remove_connection_headers(response.headers_mut());
        let head = PassedHead {
            is_checked: true,
            ..order.head()
        };
        head.replace(response.headers_mut());
        let status = incoming.parts.status;
        let kind = match (order.is_stream, is_answer(status, &metadata)) {
            (_, false) => AnswerKind::NotRun,
            (true, true) if status.is_success() => AnswerKind::Stream,
            _ => AnswerKind::Plain,
        };
        let clock = self.context.clock.clone();
        let answer = CarriedAnswer::new(clock, order.deadline, kind, order.guard);
        monoio::spawn(answer.copy_body(incoming, sender));
        response
    }
}

fn remove_connection_headers(headers: &mut HeaderMap) {
    for name in [CONNECTION, TRANSFER_ENCODING, KEEP_ALIVE] {
        headers.remove(name);
    }
}

/// Response to the other node about an attempt without a response of the server.
fn ended_response(end: PassEnd, head: PassedHead) -> WebResponse {
    let mut response = Response::new(empty_body());
    *response.status_mut() = StatusCode::BAD_GATEWAY;
    head.replace(response.headers_mut());
    end.insert(response.headers_mut());
    response
}

/// Response to the other node about a repetition that may run once only.
fn withheld_response() -> WebResponse {
    let head = PassedHead {
        is_once_only: true,
        ..PassedHead::default()
    };
    ended_response(PassEnd::Withheld, head)
}
