//! Requests that one node passes on for another that reaches no server.
//!
//! The node that took the request from its client decides everything: target, deadline, retries,
//! limits and where a stream is resumed. The other one only carries one attempt, once: it sends
//! the request to the server as it came and streams the response back. A body that breaks off is
//! aborted, so that it never looks complete, and a client's disconnect closes both connections.

use std::pin::pin;
use std::rc::Rc;

use base::prelude::*;
use futures_util::future::{Either, LocalBoxFuture, select};
use http::header::{CONNECTION, TRANSFER_ENCODING};
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response, StatusCode};
use net::web::RequestBody;
use net::web::{
    BodySender, CallOutcome, ChunkOutcome, IncomingResponse, WebLimits, WebRequest, WebResponse,
    WebService, body_channel, empty_body, full_body, receive_body,
};
use notices::{ServerNotice, ServerRun};
use relay::{AttemptEnd, SendOrder};

use super::attempt::AttemptContext;
use crate::{EdgeEvent, EdgeQuestion, EdgeReply};

/// Server that the request is for.
const TARGET: HeaderName = HeaderName::from_static("x-pass-target");
/// Start of the server.
const INCARNATION: HeaderName = HeaderName::from_static("x-pass-incarnation");
/// Milliseconds until the deadline.
const TIME_LEFT: HeaderName = HeaderName::from_static("x-pass-time-left");
/// ID of the request, for logs.
const REQUEST_ID: HeaderName = HeaderName::from_static("x-pass-request-id");
/// How an attempt ended without a response of the server.
const OUTCOME: HeaderName = HeaderName::from_static("x-pass-outcome");
/// States that the response was checked to be the server's own response to this attempt.
const CHECKED: HeaderName = HeaderName::from_static("x-pass-checked");
/// Header that concerns one connection only and has no constant.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Values of [`OUTCOME`].
const NOT_PASSED_ON: &str = "not-passed-on";
const NOT_SENT: &str = "not-sent";
const LOST: &str = "lost";
const DISCARDED: &str = "discarded";

/// Adds what the node that passes a request on has to know.
pub(super) fn add_pass_headers(
    request: &mut WebRequest,
    order: &SendOrder,
    id: &str,
    now: ClockTime,
) -> Option<()> {
    let time_left = order.deadline.since(now).as_millis() as u64;
    let headers = request.headers_mut();
    headers.insert(TARGET, HeaderValue::from_str(order.target.as_str()).ok()?);
    headers.insert(INCARNATION, HeaderValue::from(order.incarnation.0));
    headers.insert(TIME_LEFT, HeaderValue::from(time_left));
    headers.insert(REQUEST_ID, HeaderValue::from_str(id).ok()?);
    Some(())
}

/// How an attempt ended, if the other node got no response from the server.
pub(super) fn pass_outcome(response: &IncomingResponse) -> Option<AttemptEnd> {
    let text = response.parts.headers.get(OUTCOME)?.to_str().ok()?;
    let proof = response.not_run([NOT_PASSED_ON, NOT_SENT].contains(&text));
    match (text, proof) {
        (NOT_PASSED_ON, Some(proof)) => Some(AttemptEnd::NotPassedOn(proof)),
        (NOT_SENT, Some(proof)) => Some(AttemptEnd::NotSent(proof)),
        (NOT_PASSED_ON | NOT_SENT | LOST, _) => Some(AttemptEnd::Lost),
        (DISCARDED, _) => Some(AttemptEnd::Discarded),
        _ => None,
    }
}

/// Whether the other node checks which response is the server's own; older builds don't, and may
/// return the copy of an earlier one.
pub(super) fn take_checked(response: &mut IncomingResponse) -> bool {
    response.parts.headers.remove(CHECKED).is_some()
}

/// Request that another node wants to be passed on.
struct PassOrder {
    run: ServerRun,
    deadline: ClockTime,
    id: String,
}

impl PassOrder {
    /// Takes the order out of a request's headers; `None` if it is incomplete.
    fn take(headers: &mut HeaderMap, now: ClockTime) -> Option<Self> {
        let mut text = |name| {
            let value = headers.remove(name)?;
            value.to_str().ok().map(str::to_owned)
        };
        let (target, incarnation) = (text(TARGET)?, text(INCARNATION)?);
        let (time_left, id) = (text(TIME_LEFT)?, text(REQUEST_ID)?);
        Some(Self {
            run: ServerRun {
                server: HostName::new(&target).ok()?,
                incarnation: HostIncarnation(incarnation.parse().ok()?),
            },
            deadline: now + Duration::from_millis(time_left.parse().ok()?),
            id,
        })
    }
}

/// Service for requests of other nodes.
#[derive(Clone)]
pub(super) struct PassService {
    pub context: AttemptContext,
    pub limits: WebLimits,
}

impl WebService for PassService {
    fn answer(&self, request: Request<RequestBody>) -> LocalBoxFuture<'static, WebResponse> {
        let service = self.clone();
        Box::pin(async move {
            service
                .pass_on(request)
                .await
                .unwrap_or_else(ended_response)
        })
    }
}

impl PassService {
    async fn pass_on(&self, request: Request<RequestBody>) -> Result<WebResponse, &'static str> {
        let context = &self.context;
        let (mut parts, body) = request.into_parts();
        let Some(order) = PassOrder::take(&mut parts.headers, context.clock.now()) else {
            return Err(NOT_PASSED_ON);
        };
        let Ok(body) = receive_body(body, &self.limits).await else {
            return Err(NOT_PASSED_ON);
        };
        let question = EdgeQuestion::PassOn(order.run.clone());
        let Some(EdgeReply::PassTarget(Some(address))) = context.replies.request(question).await
        else {
            return Err(NOT_PASSED_ON);
        };
        log::info!(id:% = order.id, place:% = order.run.server; "request passed on for another node");
        context.metrics.count("passed_requests", &[], 1);
        let mut forwarded = WebRequest::new(full_body(body));
        *forwarded.method_mut() = parts.method;
        *forwarded.uri_mut() = parts.uri;
        remove_connection_headers(&mut parts.headers);
        *forwarded.headers_mut() = parts.headers;
        match context
            .client
            .call(address, forwarded, order.deadline)
            .await
        {
            CallOutcome::Response(response) => Ok(self.relay_response(*response, order)),
            CallOutcome::NotSent(_) => Err(self.fail(&order, NOT_SENT)),
            CallOutcome::Lost => Err(self.fail(&order, LOST)),
            // The server lives, so the attempt says nothing against it.
            CallOutcome::Discarded => Err(DISCARDED),
        }
    }

    fn fail(&self, order: &PassOrder, outcome: &'static str) -> &'static str {
        log::info!(id:% = order.id, place:% = order.run.server, end = outcome; "passed request failed");
        let failed = EdgeEvent::PassFailed(order.run.server.clone());
        // The event loop ends only when the process is about to exit.
        let _ = self.context.events.unbounded_send(failed);
        outcome
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
                run: order.run,
                id: order.id.into(),
                notice: metadata.notice,
            });
        }
        let (sender, body) = body_channel();
        let mut response = Response::new(body);
        *response.status_mut() = parts.status;
        *response.headers_mut() = parts.headers.clone();
        remove_connection_headers(response.headers_mut());
        response.headers_mut().remove(OUTCOME);
        response
            .headers_mut()
            .insert(CHECKED, HeaderValue::from_static("1"));
        monoio::spawn(copy_body(incoming, sender, order.deadline));
        response
    }
}

/// Streams a body until its end, until it breaks off or until the other node disconnects.
async fn copy_body(mut incoming: IncomingResponse, mut sender: BodySender, deadline: ClockTime) {
    loop {
        let chunk = {
            let next = pin!(incoming.next_chunk(deadline));
            let disconnected = pin!(sender.closed());
            match select(next, disconnected).await {
                Either::Left((chunk, _)) => chunk,
                Either::Right(_) => return,
            }
        };
        match chunk {
            ChunkOutcome::Chunk(bytes) => {
                if sender.send(bytes).await.is_err() {
                    return;
                }
            }
            ChunkOutcome::End => {
                incoming.finish();
                return;
            }
            ChunkOutcome::Lost => {
                sender.abort().await;
                return;
            }
        }
    }
}

fn remove_connection_headers(headers: &mut HeaderMap) {
    for name in [CONNECTION, TRANSFER_ENCODING, KEEP_ALIVE] {
        headers.remove(name);
    }
}

fn ended_response(outcome: &'static str) -> WebResponse {
    let mut response = Response::new(empty_body());
    *response.status_mut() = StatusCode::BAD_GATEWAY;
    response
        .headers_mut()
        .insert(OUTCOME, HeaderValue::from_static(outcome));
    response
}

/// Shared handle of the service.
pub(super) fn pass_service(context: AttemptContext, limits: WebLimits) -> Rc<dyn WebService> {
    Rc::new(PassService { context, limits })
}
