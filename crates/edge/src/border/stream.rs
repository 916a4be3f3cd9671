//! Relay of streams from servers to clients.

use std::pin::pin;

use base::prelude::*;
use futures_channel::mpsc::UnboundedSender;
use futures_util::future::{Either, select};
use http::header::CONTENT_TYPE;
use http::response::Parts;
use http::{HeaderValue, StatusCode};
use net::web::{BodySender, ChunkOutcome, IncomingResponse};
use relay::{AttemptEnd, CallStep, RefusalReason, StallStep};

use super::attempt::{AttemptContext, AttemptOutcome, ClientRequest};
use super::events::{EventBuffer, has_complete_event};
use super::labels::RequestLabels;
use crate::{EdgeEvent, EdgeQuestion, EdgeReply};

/// Shortest interval between two progress events of a stream; the event loop needs no
/// more.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(50);

/// Guard that sends [`EdgeEvent::Finished`] when it is dropped, however a request's task
/// ends.
pub(super) struct CallGuard {
    pub call: CallId,
    pub events: UnboundedSender<EdgeEvent>,
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        // The event loop ends only when the process is about to exit.
        let _ = self.events.unbounded_send(EdgeEvent::Finished(self.call));
    }
}

/// Stream that is being relayed.
pub(super) struct RelayedStream {
    pub context: AttemptContext,
    pub request: ClientRequest,
    /// Name of the route, for logs.
    pub route: Arc<str>,
    pub labels: RequestLabels,
    pub guard: CallGuard,
    pub deadline: ClockTime,
    /// Time without bytes after which the event loop is asked about the server.
    pub stall_timeout: Duration,
    pub buffer: EventBuffer,
    /// Kind of the response, which each server that resumes the stream must give.
    pub kind: ResponseKind,
    /// Whether it can be resumed at another server.
    pub is_resumable: bool,
    /// Whether its first complete event was reported.
    pub is_answered: bool,
    pub pauses: PauseMeter,
}

/// Status and media type of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct ResponseKind {
    status: StatusCode,
    /// In lower case, without parameters.
    media_type: Option<String>,
}

impl ResponseKind {
    pub fn of(parts: &Parts) -> Self {
        Self {
            status: parts.status,
            media_type: parts.headers.get(CONTENT_TYPE).map(media_type),
        }
    }
}

fn media_type(value: &HeaderValue) -> String {
    let text = value.to_str().unwrap_or_default();
    let media_type = text.split(';').next().unwrap_or_default();
    media_type.trim().to_ascii_lowercase()
}

/// Measures the pauses of a stream at the client.
#[derive(Clone, Copy, Debug)]
pub(super) struct PauseMeter {
    arrived_at: ClockTime,
    last_at: Option<ClockTime>,
    /// Time from the request's arrival to the first event.
    first: Duration,
    /// Longest pause between two events.
    longest: Duration,
}

impl PauseMeter {
    /// Creates the meter of a request that arrived at `arrived_at`.
    pub fn new(arrived_at: ClockTime) -> Self {
        Self {
            arrived_at,
            last_at: None,
            first: Duration::ZERO,
            longest: Duration::ZERO,
        }
    }

    fn record(&mut self, now: ClockTime) {
        match self.last_at {
            None => self.first = now.since(self.arrived_at),
            Some(last) => self.longest = self.longest.max(now.since(last)),
        }
        self.last_at = Some(now);
    }
}

/// How a stream ended: complete, cut off, or abandoned by its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StreamEnd {
    Whole,
    Cut,
    Left,
}

impl StreamEnd {
    /// Name for metrics.
    fn as_str(self) -> &'static str {
        match self {
            Self::Whole => "whole",
            Self::Cut => "cut",
            Self::Left => "left",
        }
    }
}

impl RelayedStream {
    /// Relays events until the stream is complete, can't be resumed, or the client has
    /// disconnected.
    pub async fn run(mut self, first: IncomingResponse, mut body: BodySender) {
        let mut response = first;
        let end = loop {
            match self.relay_events(response, &mut body).await {
                Ok(end) => break end,
                Err(attempt) => match self.resume(attempt, &mut body).await {
                    Some(next) => response = next,
                    None => break StreamEnd::Cut,
                },
            }
        };
        if end == StreamEnd::Whole {
            // The event loop ends only when the process is about to exit.
            let completed = EdgeEvent::Completed(self.guard.call);
            let _ = self.guard.events.unbounded_send(completed);
        }
        let last_event = self.buffer.last_id();
        let first_ms = self.pauses.first.as_millis() as u64;
        let pause_ms = self.pauses.longest.as_millis() as u64;
        log::info!(id:% = self.request.id, route:% = self.route, end:? = end, first_ms, pause_ms, last_event:? = last_event; "stream ended");
        let metrics = self.context.metrics.as_ref();
        self.labels.count_stream(metrics, end.as_str());
        self.labels
            .record_duration(metrics, "first_event_seconds", self.pauses.first);
        self.labels
            .record_duration(metrics, "longest_pause_seconds", self.pauses.longest);
        if end == StreamEnd::Cut {
            body.abort().await;
        }
    }

    /// Relays one server's events; the error is the end of a failed attempt.
    async fn relay_events(
        &mut self,
        mut response: IncomingResponse,
        body: &mut BodySender,
    ) -> Result<StreamEnd, AttemptEnd> {
        let clock = self.context.clock.clone();
        let mut check_at = clock.now() + self.stall_timeout;
        let mut progress_sent_at: Option<ClockTime> = None;
        loop {
            let until = check_at.min(self.deadline);
            let chunk = {
                let next = pin!(response.poll_chunk(until));
                let disconnected = pin!(body.closed());
                match select(next, disconnected).await {
                    Either::Left((chunk, _)) => chunk,
                    Either::Right(_) => return Ok(StreamEnd::Left),
                }
            };
            let now = clock.now();
            match chunk {
                Some(ChunkOutcome::Chunk(_)) if now >= self.deadline => return Ok(StreamEnd::Cut),
                Some(ChunkOutcome::Chunk(bytes)) => {
                    let complete = match self.buffer.push(&bytes) {
                        Ok(complete) => complete,
                        Err(error) => {
                            log::warn!(id:% = self.request.id; "stream of the server given up: {error}");
                            return Err(AttemptEnd::Cut);
                        }
                    };
                    // Bytes that don't complete an event are no progress, however many there are.
                    let is_progress = !complete.is_empty();
                    if is_progress {
                        check_at = now + self.stall_timeout;
                    }
                    if is_progress
                        && progress_sent_at.is_none_or(|at| now.since(at) >= PROGRESS_INTERVAL)
                    {
                        progress_sent_at = Some(now);
                        // The event loop ends only when the process is about to exit.
                        let _ = self
                            .guard
                            .events
                            .unbounded_send(EdgeEvent::Progress(self.guard.call));
                    }
                    let events = if self.is_resumable { complete } else { bytes };
                    if !events.is_empty() {
                        self.pauses.record(now);
                        self.report_answer(&events);
                    }
                    if !events.is_empty() && body.send(events).await.is_err() {
                        return Ok(StreamEnd::Left);
                    }
                }
                Some(ChunkOutcome::End) if self.buffer.is_within_event() => {
                    return Err(AttemptEnd::Cut);
                }
                Some(ChunkOutcome::End) => {
                    response.finish();
                    if !self.is_resumable {
                        return Ok(StreamEnd::Whole);
                    }
                    let rest = self.buffer.take_rest();
                    if !rest.is_empty() && body.send(rest).await.is_err() {
                        return Ok(StreamEnd::Left);
                    }
                    return Ok(StreamEnd::Whole);
                }
                Some(ChunkOutcome::Lost) => return Err(AttemptEnd::Cut),
                None if now >= self.deadline => return Ok(StreamEnd::Cut),
                None => match self.context.check_stall(&self.request).await {
                    StallStep::Wait { until } => check_at = until,
                    StallStep::Abort(_) => {
                        response.abandon();
                        return Err(AttemptEnd::Stalled);
                    }
                },
            }
        }
    }

    /// Reports the first complete event.
    fn report_answer(&mut self, events: &[u8]) {
        let is_complete = self.is_resumable || has_complete_event(events);
        if is_complete && !std::mem::replace(&mut self.is_answered, true) {
            // The event loop ends only when the process is about to exit.
            let _ = self
                .guard
                .events
                .unbounded_send(EdgeEvent::Answered(self.guard.call));
        }
    }

    /// Reports why the stream is not resumed at another server.
    fn report_refusal(&self, reason: RefusalReason) {
        log::info!(id:% = self.request.id, reason = reason.as_str(); "stream not resumed");
        let labels = [("reason", reason.as_str())];
        let metrics = self.context.metrics.as_ref();
        metrics.count("unresumed_streams", &labels, 1);
    }

    /// Resumes the stream at another server after the last complete event.
    async fn resume(&mut self, end: AttemptEnd, body: &mut BodySender) -> Option<IncomingResponse> {
        if !self.is_resumable {
            // The event loop ends only when the process is about to exit.
            let broken = EdgeEvent::Broken(self.guard.call, end);
            let _ = self.guard.events.unbounded_send(broken);
            return None;
        }
        self.buffer.drop_partial();
        let resumption = async {
            let mut end = end;
            loop {
                log::info!(id:% = self.request.id, end = end.as_str(), last_event:? = self.buffer.last_id(); "stream interrupted");
                let question = EdgeQuestion::Ended(self.guard.call, end);
                let order = match self.context.replies.request(question).await {
                    Some(EdgeReply::Step(CallStep::Send(order))) => order,
                    Some(EdgeReply::Step(CallStep::Refuse(refusal))) => {
                        self.report_refusal(refusal.reason);
                        return None;
                    }
                    _ => return None,
                };
                let last_event = self.buffer.last_id();
                match self
                    .context
                    .attempt(&self.request, &order, last_event)
                    .await
                {
                    AttemptOutcome::Response(response)
                        if ResponseKind::of(&response.parts) == self.kind =>
                    {
                        return Some(*response);
                    }
                    AttemptOutcome::Response(response) => {
                        super::attempt::drain_response(*response, self.context.clock.as_ref());
                        end = AttemptEnd::Failed;
                    }
                    AttemptOutcome::Ended(next) => end = next,
                    AttemptOutcome::DeadlinePassed => return None,
                }
            }
        };
        let resumption = pin!(resumption);
        let disconnected = pin!(body.closed());
        match select(resumption, disconnected).await {
            Either::Left((response, _)) => response,
            Either::Right(_) => None,
        }
    }
}
