//! Relay of streams from servers to clients.

use std::ops::ControlFlow;
use std::pin::pin;
use std::rc::Rc;

use base::prelude::*;
use bytes::Bytes;
use futures_channel::mpsc::UnboundedSender;
use futures_util::future::{Either, select};
use http::header::CONTENT_TYPE;
use http::response::Parts;
use http::{HeaderValue, StatusCode};
use net::web::{BodySender, ChunkOutcome};
use relay::{AttemptEnd, AttemptId, CallStep, RefusalReason};

use super::attempt::{AttemptContext, ClientRequest};
use super::attempts::{AttemptSignal, OpenAttempts};
use super::events::{EventBuffer, has_complete_event};
use super::labels::RequestLabels;
use crate::{EdgeEvent, EdgeQuestion, EdgeReply};

/// Shortest interval between two progress events of a stream; the event loop needs no
/// more.
pub(super) const PROGRESS_INTERVAL: Duration = Duration::from_millis(50);

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
    pub request: Rc<ClientRequest>,
    /// Attempts whose responses are read, or that are under way.
    pub attempts: OpenAttempts,
    /// Name of the route, for logs.
    pub route: Arc<str>,
    pub labels: RequestLabels,
    pub guard: CallGuard,
    pub deadline: ClockTime,
    /// Number of the last event that the client was sent.
    pub last_event: Option<u64>,
    /// Kind of the response, which each server that resumes the stream must give.
    pub kind: ResponseKind,
    /// Whether it can be resumed at another server.
    pub is_resumable: bool,
    /// Whether its first complete event was reported.
    pub is_answered: bool,
    /// Instant at which progress was last reported.
    pub progress_sent_at: Option<ClockTime>,
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
    /// Relays events until the stream is complete, no server goes on with it, or the client has
    /// disconnected.
    ///
    /// `first` are events that were read before the head of the response was sent.
    pub async fn run(mut self, first: Option<(AttemptId, Bytes)>, mut body: BodySender) {
        let end = match self.relay_first(first, &mut body).await {
            ControlFlow::Continue(()) => self.relay_events(&mut body).await,
            ControlFlow::Break(end) => end,
        };
        if end == StreamEnd::Whole {
            // The event loop ends only when the process is about to exit.
            let completed = EdgeEvent::Completed(self.guard.call);
            let _ = self.guard.events.unbounded_send(completed);
        }
        let first_ms = self.pauses.first.as_millis() as u64;
        let pause_ms = self.pauses.longest.as_millis() as u64;
        let last_event = self.last_event;
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

    async fn relay_first(
        &mut self,
        first: Option<(AttemptId, Bytes)>,
        body: &mut BodySender,
    ) -> ControlFlow<StreamEnd> {
        let Some((attempt, events)) = first else {
            return ControlFlow::Continue(());
        };
        let now = self.context.clock.now();
        self.report_progress(attempt, now);
        self.send_events(events, body, now).await
    }

    async fn relay_events(&mut self, body: &mut BodySender) -> StreamEnd {
        loop {
            let signal = {
                let next = pin!(self.attempts.next(self.last_event));
                let disconnected = pin!(body.closed());
                match select(next, disconnected).await {
                    Either::Left((signal, _)) => signal,
                    Either::Right(_) => return StreamEnd::Left,
                }
            };
            let next = match signal {
                AttemptSignal::DeadlinePassed => ControlFlow::Break(StreamEnd::Cut),
                AttemptSignal::Chunk(attempt, chunk) => {
                    self.relay_chunk(attempt, chunk, body).await
                }
                AttemptSignal::Response(order, response)
                    if ResponseKind::of(&response.parts) == self.kind =>
                {
                    let buffer = EventBuffer::after(self.last_event);
                    self.attempts.read(order, response, buffer);
                    ControlFlow::Continue(())
                }
                AttemptSignal::Response(order, response) => {
                    super::attempt::drain_response(*response, self.context.clock.as_ref());
                    self.end_attempt(order.attempt, AttemptEnd::Failed).await
                }
                AttemptSignal::Ended(order, end) => self.end_attempt(order.attempt, end).await,
                // A response that was being collected was no stream.
                AttemptSignal::Collected(order, _) => {
                    self.end_attempt(order.attempt, AttemptEnd::Failed).await
                }
            };
            if let ControlFlow::Break(end) = next {
                return end;
            }
        }
    }

    /// Relays the next part of one server's response.
    async fn relay_chunk(
        &mut self,
        attempt: AttemptId,
        chunk: ChunkOutcome,
        body: &mut BodySender,
    ) -> ControlFlow<StreamEnd> {
        let now = self.context.clock.now();
        match chunk {
            ChunkOutcome::Chunk(_) if now >= self.deadline => ControlFlow::Break(StreamEnd::Cut),
            ChunkOutcome::Chunk(bytes) => self.relay_bytes(attempt, bytes, body, now).await,
            ChunkOutcome::End if self.is_within_event(attempt) => self.lose_attempt(attempt).await,
            ChunkOutcome::End => self.end_whole(attempt, body).await,
            ChunkOutcome::Lost => self.lose_attempt(attempt).await,
        }
    }

    async fn relay_bytes(
        &mut self,
        attempt: AttemptId,
        bytes: Bytes,
        body: &mut BodySender,
        now: ClockTime,
    ) -> ControlFlow<StreamEnd> {
        let Some(buffer) = self.attempts.buffer(attempt) else {
            return ControlFlow::Continue(());
        };
        let complete = match buffer.push(&bytes) {
            Ok(complete) => complete,
            Err(error) => {
                log::warn!(id:% = self.request.id; "stream of the server given up: {error}");
                return self.lose_attempt(attempt).await;
            }
        };
        let last_event = buffer.last_id();
        // Bytes that don't complete an event are no progress, however many there are.
        if !complete.is_empty() {
            self.last_event = last_event;
            self.report_progress(attempt, now);
        }
        let events = if self.is_resumable { complete } else { bytes };
        if events.is_empty() {
            return ControlFlow::Continue(());
        }
        self.send_events(events, body, now).await
    }

    async fn send_events(
        &mut self,
        events: Bytes,
        body: &mut BodySender,
        now: ClockTime,
    ) -> ControlFlow<StreamEnd> {
        self.pauses.record(now);
        self.report_answer(&events);
        if body.send(events).await.is_err() {
            return ControlFlow::Break(StreamEnd::Left);
        }
        self.attempts.postpone_check();
        ControlFlow::Continue(())
    }

    /// Ends the other attempts, and reports progress unless it was reported a moment ago.
    fn report_progress(&mut self, attempt: AttemptId, now: ClockTime) {
        let has_moved = self.attempts.keep_only(attempt);
        let is_due = |at: ClockTime| now.since(at) >= PROGRESS_INTERVAL;
        if has_moved || self.progress_sent_at.is_none_or(is_due) {
            self.progress_sent_at = Some(now);
            // The event loop ends only when the process is about to exit.
            let progress = EdgeEvent::Progress(attempt);
            let _ = self.guard.events.unbounded_send(progress);
        }
    }

    fn is_within_event(&mut self, attempt: AttemptId) -> bool {
        let buffer = self.attempts.buffer(attempt);
        buffer.is_some_and(|buffer| buffer.is_within_event())
    }

    /// Ends the response after a server's last event.
    async fn end_whole(
        &mut self,
        attempt: AttemptId,
        body: &mut BodySender,
    ) -> ControlFlow<StreamEnd> {
        let rest = self.attempts.buffer(attempt).map(EventBuffer::take_rest);
        if let Some((_, Some(response))) = self.attempts.remove(attempt) {
            response.finish();
        }
        let rest = rest.filter(|rest| self.is_resumable && !rest.is_empty());
        if let Some(rest) = rest
            && body.send(rest).await.is_err()
        {
            return ControlFlow::Break(StreamEnd::Left);
        }
        ControlFlow::Break(StreamEnd::Whole)
    }

    /// Ends an attempt whose server broke off.
    async fn lose_attempt(&mut self, attempt: AttemptId) -> ControlFlow<StreamEnd> {
        self.attempts.remove(attempt);
        self.end_attempt(attempt, AttemptEnd::Cut).await
    }

    /// Asks the event loop what follows the end of an attempt.
    async fn end_attempt(&mut self, attempt: AttemptId, end: AttemptEnd) -> ControlFlow<StreamEnd> {
        let (number, open) = (attempt.number, self.attempts.count());
        log::info!(id:% = self.request.id, attempt = number, end = end.as_str(), open, last_event:? = self.last_event; "stream interrupted");
        if !self.is_resumable {
            // The event loop ends only when the process is about to exit.
            let broken = EdgeEvent::Broken(attempt, end);
            let _ = self.guard.events.unbounded_send(broken);
            return ControlFlow::Break(StreamEnd::Cut);
        }
        let question = EdgeQuestion::Ended(attempt, end);
        match self.context.replies.request(question).await {
            Some(EdgeReply::Step(CallStep::Send(order))) => {
                self.attempts.send(order, self.last_event);
                ControlFlow::Continue(())
            }
            Some(EdgeReply::Step(CallStep::Wait)) => ControlFlow::Continue(()),
            Some(EdgeReply::Step(CallStep::Refuse(refusal))) => {
                self.report_refusal(refusal.reason);
                ControlFlow::Break(StreamEnd::Cut)
            }
            _ => ControlFlow::Break(StreamEnd::Cut),
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
}
