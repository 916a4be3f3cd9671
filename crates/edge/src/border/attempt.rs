//! Single attempts of requests at servers.

use std::rc::Rc;

use base::prelude::*;
use bytes::Bytes;
use exchange::NotRunProof;
use futures_channel::mpsc::UnboundedSender;
use http::{HeaderMap, Method, StatusCode, Uri};
use net::MetricSink;
use net::web::{
    CallOutcome, IncomingResponse, SendGate, WebClient, WebRequest, drop_request, full_body,
};
use notices::{ServerNotice, ServerRun};
use quarantine::CallSuspects;
use relay::{AttemptEnd, AttemptId, SendOrder, StallCause, StallStep};

use super::EdgeReplies;
use super::gate::RepeatGate;
use super::pass_wire::{PassWire, PassedHead, pass_outcome};
use super::ports::{ForwardMetadata, HeaderCodec, ResponseMetadata};
use crate::{CarriedSuspects, EdgeEvent, EdgeQuestion, EdgeReply};

/// Request of a client, kept for further attempts.
#[derive(Debug)]
pub(super) struct ClientRequest {
    pub call: CallId,
    pub id: Arc<str>,
    pub method: Method,
    /// Path and query as the client sent them.
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: Bytes,
    pub workspace: Option<WorkspaceName>,
    /// The request and the parts of its prompt, in case that they crash servers.
    pub suspects: CallSuspects,
    /// Whether it is answered by a stream of events.
    pub is_stream: bool,
    /// Version of the configuration by which it was accepted.
    pub version: u64,
    /// Whether it is sent with a rank for the server's queue.
    pub is_ranked: bool,
}

/// Outcome of an attempt.
pub(super) enum AttemptOutcome {
    /// The headers of a usable response have arrived.
    Response(Box<IncomingResponse>),
    /// No usable response arrived.
    Ended(AttemptEnd),
    /// The deadline has passed.
    DeadlinePassed,
}

/// Context of an attempt.
#[derive(Clone)]
pub(super) struct AttemptContext {
    /// Client for servers.
    pub client: WebClient,
    /// Client for nodes that pass requests on.
    pub nodes: WebClient,
    pub clock: Rc<dyn ClockSource>,
    pub replies: EdgeReplies,
    pub header_codec: Rc<dyn HeaderCodec>,
    pub metrics: Rc<dyn MetricSink>,
    pub events: UnboundedSender<EdgeEvent>,
}

impl AttemptContext {
    /// Sends a request and waits for the headers of the response.
    pub async fn attempt(
        self,
        request: Rc<ClientRequest>,
        order: SendOrder,
        last_event: Option<u64>,
    ) -> AttemptOutcome {
        let remaining_ms = order.deadline.since(self.clock.now()).as_millis() as u64;
        log::info!(id:% = request.id, place:% = order.target, attempt = order.attempt.number, rank = order.rank, load = order.load, passed_over = order.passed_over, left = remaining_ms, last_event:? = last_event, via:? = order.via; "attempt started");
        let forwarded = match self.build_request(&request, &order, last_event) {
            Ok(forwarded) => forwarded,
            Err(proof) => return AttemptOutcome::Ended(AttemptEnd::NotSent(proof)),
        };
        let (client, address) = match order.via {
            Some(node) => (&self.nodes, node),
            None => (&self.client, order.address),
        };
        let gate = order.is_repeat.then(|| RepeatGate {
            replies: self.replies.clone(),
            attempt: order.attempt,
        });
        let gate = gate.as_ref().map(|gate| gate as &dyn SendGate);
        let outcome = client.call_gated(address, forwarded, order.deadline, gate);
        match outcome.await {
            CallOutcome::Response(mut response) => {
                let mut is_checked = true;
                if order.via.is_some() {
                    let head = PassedHead::take(&mut response.parts.headers);
                    if head.is_once_only {
                        // The event loop ends only when the process is about to exit.
                        let once_only = EdgeEvent::OnceOnly(request.call);
                        let _ = self.events.unbounded_send(once_only);
                    }
                    if let Some(end) = pass_outcome(&response, head) {
                        drain_response(*response, self.clock.as_ref());
                        return AttemptOutcome::Ended(end);
                    }
                    is_checked = head.is_checked;
                }
                self.check_response(&request, &order, *response, is_checked)
            }
            CallOutcome::Withheld(proof) => AttemptOutcome::Ended(AttemptEnd::Withheld(proof)),
            CallOutcome::NotSent(proof) if order.via.is_some() => {
                AttemptOutcome::Ended(AttemptEnd::NotPassedOn(proof))
            }
            CallOutcome::NotSent(proof) => AttemptOutcome::Ended(AttemptEnd::NotSent(proof)),
            CallOutcome::Discarded => AttemptOutcome::Ended(AttemptEnd::Discarded),
            CallOutcome::Lost if self.clock.now() >= order.deadline => {
                AttemptOutcome::DeadlinePassed
            }
            CallOutcome::Lost => AttemptOutcome::Ended(AttemptEnd::Lost),
        }
    }

    /// Asks the event loop what to do about a server that sends nothing.
    pub async fn check_stall(
        &self,
        request: &ClientRequest,
        attempt: AttemptId,
        is_answering: bool,
    ) -> StallStep {
        let question = EdgeQuestion::Check {
            attempt,
            is_answering,
        };
        let step = match self.replies.request(question).await {
            Some(EdgeReply::Stall(step)) => step,
            _ => StallStep::Abort(StallCause::LoopEnded),
        };
        match &step {
            StallStep::Wait { .. } => {}
            StallStep::Move(cause, _) => {
                log::info!(id:% = request.id, cause = cause.as_str(); "server silent, another one is tried");
                let labels = [("cause", cause.as_str())];
                self.metrics.count("moved_attempts", &labels, 1);
            }
            StallStep::Abort(cause) => {
                log::info!(id:% = request.id, cause = cause.as_str(); "server given up");
                let labels = [("cause", cause.as_str())];
                self.metrics.count("given_up_attempts", &labels, 1);
            }
        }
        step
    }

    /// Reports what a server announces, or that it no longer does.
    fn report_notice(
        &self,
        request: &ClientRequest,
        order: &SendOrder,
        metadata: &ResponseMetadata,
    ) {
        // A misdirected request was answered by another server than the one meant.
        let is_announcement = metadata.notice != ServerNotice::default() || order.has_notice;
        if metadata.is_misdirected || !is_announcement {
            return;
        }
        // The event loop ends only when the process is about to exit.
        let _ = self.events.unbounded_send(EdgeEvent::Announced {
            run: ServerRun {
                server: order.target.clone(),
                incarnation: order.incarnation,
            },
            id: request.id.clone(),
            notice: metadata.notice,
        });
    }

    fn build_request(
        &self,
        request: &ClientRequest,
        order: &SendOrder,
        last_event: Option<u64>,
    ) -> Result<WebRequest, NotRunProof> {
        let metadata = ForwardMetadata {
            target: order.target.clone(),
            time_left: order.deadline.since(self.clock.now()),
            workspace: request.workspace.clone(),
            rank: request.is_ranked.then_some(order.rank),
            last_event,
        };
        let mut forwarded = WebRequest::new(full_body(request.body.clone()));
        *forwarded.method_mut() = request.method.clone();
        *forwarded.uri_mut() = request.uri.clone();
        *forwarded.headers_mut() = self
            .header_codec
            .forward_headers(&request.headers, &metadata);
        if order.via.is_some() {
            let wire = PassWire {
                run: ServerRun {
                    server: order.target.clone(),
                    incarnation: order.incarnation,
                },
                time_left_ms: metadata.time_left.as_millis() as u64,
                id: request.id.clone(),
                config_version: Some(request.version),
                is_repeat: order.is_repeat,
                suspects: Some(CarriedSuspects {
                    suspects: request.suspects.clone(),
                    epoch: order.epoch,
                    has_begun: last_event.is_some(),
                }),
                is_stream: request.is_stream,
            };
            let Ok(headers) = HeaderMap::try_from(wire) else {
                return Err(drop_request(forwarded));
            };
            // The client may have sent some of these names.
            PassWire::remove(forwarded.headers_mut());
            forwarded.headers_mut().extend(headers);
        }
        Ok(forwarded)
    }

    /// Checks that a response is the server's own response to this request; `is_checked` if its
    /// connection was checked by the node that received it from the server.
    fn check_response(
        &self,
        request: &ClientRequest,
        order: &SendOrder,
        response: IncomingResponse,
        is_checked: bool,
    ) -> AttemptOutcome {
        let metadata = self
            .header_codec
            .read_response(response.parts.status, &response.parts.headers);
        let status = response.parts.status;
        let (connection, exchange) = (response.connection_number(), response.exchange_number());
        if let Some(defect) = find_defect(request, &response, &metadata) {
            log::warn!(id:% = request.id, status = status.as_u16(), connection, exchange; "response discarded: {defect}");
            let labels = [("peers", "servers"), ("reason", "unusable")];
            self.metrics.count("discarded_responses", &labels, 1);
            return AttemptOutcome::Ended(AttemptEnd::Discarded);
        }
        self.report_notice(request, order, &metadata);
        if metadata.is_not_run && !is_checked {
            log::warn!(id:% = request.id, status = status.as_u16(), via:? = order.via; "refusal not relied on: the node that passed the request on doesn't check responses");
            self.metrics.count("unchecked_refusals", &[], 1);
            drain_response(response, self.clock.as_ref());
            return AttemptOutcome::Ended(AttemptEnd::Discarded);
        }
        if let Some(proof) = response.not_run(metadata.is_not_run) {
            log::info!(id:% = request.id, status = status.as_u16(), connection, exchange, culprit:? = metadata.faulty_endpoint; "request not run by the server");
            let end = end_of_rejection(&metadata, order, proof);
            drain_response(response, self.clock.as_ref());
            return AttemptOutcome::Ended(end);
        }
        AttemptOutcome::Response(Box::new(response))
    }
}

/// Why a server did not run a request.
///
/// A head that has lost a member names that member's address.
fn end_of_rejection(
    metadata: &ResponseMetadata,
    order: &SendOrder,
    proof: NotRunProof,
) -> AttemptEnd {
    let faulty = metadata.faulty_endpoint.as_deref();
    let is_other = faulty.is_some_and(|address| address != order.address.to_string());
    match (metadata.is_misdirected, is_other) {
        (true, _) => AttemptEnd::Misdirected(proof),
        (false, true) => AttemptEnd::GroupBroken(proof),
        (false, false) => AttemptEnd::NotRun(proof),
    }
}

/// Reason for which a response has to be discarded, if there is one.
fn find_defect(
    request: &ClientRequest,
    response: &IncomingResponse,
    metadata: &ResponseMetadata,
) -> Option<&'static str> {
    if !response.is_named() && !request.id.is_empty() {
        return Some("it doesn't name the request");
    }
    find_head_defect(response.parts.status, metadata)
}

/// Reason in a response's head for which it has to be discarded, if there is one.
fn find_head_defect(status: StatusCode, metadata: &ResponseMetadata) -> Option<&'static str> {
    if metadata.is_misdirected && !metadata.is_not_run {
        return Some("it is a 421 without the mark of a request that was not run");
    }
    if status.is_success() && !metadata.is_sealed {
        return Some("it lacks the server's seal");
    }
    if status.is_success() && metadata.is_encoded {
        return Some("its body was encoded by an intermediary");
    }
    None
}

/// Whether a response is an answer of the server that ran the request, so that its arrival or its
/// end says something about the request.
pub(super) fn is_answer(status: StatusCode, metadata: &ResponseMetadata) -> bool {
    !metadata.is_not_run && find_head_defect(status, metadata).is_none()
}

/// Time limit for reading the rest of an unused response.
const UNUSED_BODY_TIMEOUT: Duration = Duration::from_millis(200);
/// Largest unused response that is read to keep its connection.
const MAX_UNUSED_BODY_BYTES: usize = 64 * 1_024;

/// Reads the rest of a response in the background so that its connection can be reused.
pub(super) fn drain_response(response: IncomingResponse, clock: &dyn ClockSource) {
    let deadline = clock.now() + UNUSED_BODY_TIMEOUT;
    monoio::spawn(async move {
        // The body is not used, and a failure costs only the connection.
        let _ = response.collect(MAX_UNUSED_BODY_BYTES, deadline).await;
    });
}
