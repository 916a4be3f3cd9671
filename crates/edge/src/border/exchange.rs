//! One attempt of a request at one server.

use std::pin::pin;
use std::rc::Rc;

use base::prelude::*;
use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode, Uri};
use net::web::{CallOutcome, IncomingResponse, WebClient, WebRequest, full_body};
use net::{MetricSink, with_deadline};
use relay::{AttemptEnd, SendOrder, StallStep};

use super::EdgeReplies;
use super::ports::{AnswerMarks, ForwardMarks, RequestDialect};
use crate::{EdgeAnswer, EdgeQuestion};

/// Request as its client sent it, to be sent as often as need be.
#[derive(Debug)]
pub(super) struct ClientRequest {
    pub call: CallId,
    pub id: Arc<str>,
    pub method: Method,
    /// Path and query, as the client wrote them.
    pub target: Uri,
    pub headers: HeaderMap,
    pub body: Bytes,
    pub workspace: Option<WorkspaceName>,
    /// Whether servers rank it in their queue.
    pub is_ranked: bool,
}

/// How an attempt went.
pub(super) enum AttemptOutcome {
    /// The headers of a usable answer are here.
    Answered(Box<IncomingResponse>),
    /// No usable answer came.
    Ended(AttemptEnd),
    /// The time is up.
    Late,
}

/// What an exchange needs.
#[derive(Clone)]
pub(super) struct ExchangeTools {
    pub client: WebClient,
    pub clock: Rc<dyn ClockSource>,
    pub replies: EdgeReplies,
    pub header_codec: Rc<dyn RequestDialect>,
    pub metrics: Rc<dyn MetricSink>,
}

impl ExchangeTools {
    /// Sends a request and waits for the headers of its answer.
    pub async fn attempt(
        &self,
        request: &ClientRequest,
        order: &SendOrder,
        last_event: Option<u64>,
    ) -> AttemptOutcome {
        let left = order.deadline.since(self.clock.now()).as_millis() as u64;
        log::info!(id:% = request.id, place:% = order.target, rank = order.rank, load = order.load, left, last_event:? = last_event; "a request is sent");
        let Some(message) = self.build(request, order, last_event) else {
            return AttemptOutcome::Ended(AttemptEnd::NotSent);
        };
        let call = self.client.call(order.address, message, order.deadline);
        let mut call = pin!(call);
        let mut check_at = order.check_at;
        loop {
            let until = check_at.min(order.deadline);
            let outcome = with_deadline(self.clock.as_ref(), until, call.as_mut()).await;
            match outcome {
                Some(CallOutcome::Response(answer)) => return self.examine(request, *answer).await,
                Some(CallOutcome::NotSent) => return AttemptOutcome::Ended(AttemptEnd::NotSent),
                Some(CallOutcome::Lost) if self.clock.now() >= order.deadline => {
                    return AttemptOutcome::Late;
                }
                Some(CallOutcome::Lost) => return AttemptOutcome::Ended(AttemptEnd::Lost),
                None if self.clock.now() >= order.deadline => return AttemptOutcome::Late,
                None => match self.ask_stall(request.call).await {
                    StallStep::Wait { until } => check_at = until,
                    StallStep::Abort => return AttemptOutcome::Ended(AttemptEnd::Stalled),
                },
            }
        }
    }

    /// Asks the loop about a server that says nothing.
    pub async fn ask_stall(&self, call: CallId) -> StallStep {
        match self.replies.request(EdgeQuestion::Check(call)).await {
            Some(EdgeAnswer::Stall(step)) => step,
            _ => StallStep::Abort,
        }
    }

    fn build(
        &self,
        request: &ClientRequest,
        order: &SendOrder,
        last_event: Option<u64>,
    ) -> Option<WebRequest> {
        let marks = ForwardMarks {
            place: order.target.clone(),
            time_left: order.deadline.since(self.clock.now()),
            workspace: request.workspace.clone(),
            rank: request.is_ranked.then_some(order.rank),
            last_event,
        };
        let mut message = WebRequest::new(full_body(request.body.clone()));
        *message.method_mut() = request.method.clone();
        *message.uri_mut() = request.target.clone();
        *message.headers_mut() = self.header_codec.forward_headers(&request.headers, &marks);
        Some(message)
    }

    /// Checks that an answer is the server's own answer to this request.
    async fn examine(&self, request: &ClientRequest, answer: IncomingResponse) -> AttemptOutcome {
        let marks = self
            .header_codec
            .read_response(answer.parts.status, &answer.parts.headers);
        if let Some(fault) = find_fault(request, answer.parts.status, &marks) {
            log::warn!(id:% = request.id, status = answer.parts.status.as_u16(); "an answer was thrown away: {fault}");
            answer.abandon();
            return AttemptOutcome::Ended(AttemptEnd::Lost);
        }
        if marks.is_not_run {
            log::info!(id:% = request.id, status = answer.parts.status.as_u16(), culprit:? = marks.culprit; "a server did not run a request");
            let end = if marks.is_misdirected {
                AttemptEnd::Misdirected
            } else {
                AttemptEnd::NotRun
            };
            keep_connection(answer, self.clock.as_ref());
            return AttemptOutcome::Ended(end);
        }
        AttemptOutcome::Answered(Box::new(answer))
    }
}

/// What is wrong with an answer.
fn find_fault(
    request: &ClientRequest,
    status: StatusCode,
    marks: &AnswerMarks,
) -> Option<&'static str> {
    if marks.id.as_ref().is_some_and(|id| *id != request.id) {
        return Some("it answers another request");
    }
    if status.is_success() && !marks.is_sealed {
        return Some("it bears no proof of its server");
    }
    if status.is_success() && marks.is_encoded {
        return Some("its body was encoded on the way");
    }
    None
}

/// Time that the rest of an unused answer may take.
const REST_SPAN: Duration = Duration::from_millis(200);
/// Largest unused answer that is read for the sake of its connection.
const REST_LIMIT: usize = 64 * 1_024;

/// Reads the rest of an answer so that its connection can be used again.
pub(super) fn keep_connection(answer: IncomingResponse, clock: &dyn ClockSource) {
    let deadline = clock.now() + REST_SPAN;
    monoio::spawn(async move {
        // What comes is not used, and a failure costs only the connection.
        let _ = answer.collect(REST_LIMIT, deadline).await;
    });
}
