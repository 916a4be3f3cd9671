//! Answers on their way from a server to a client.

use std::pin::pin;

use base::prelude::*;
use futures_channel::mpsc::UnboundedSender;
use futures_util::future::{Either, select};
use net::web::{BodySender, ChunkOutcome, IncomingResponse};
use relay::{AttemptEnd, CallStep, StallStep};

use super::events::EventBuffer;
use super::exchange::{AttemptOutcome, ClientRequest, ExchangeTools};
use super::marks::CallMarks;
use crate::{EdgeAnswer, EdgeEvent, EdgeQuestion};

/// Pause between two notes that a server sends; the loop needs no more.
const PROGRESS_PERIOD: Duration = Duration::from_millis(50);

/// Tells the loop when a request is over, however its task ends.
pub(super) struct CallGuard {
    pub call: CallId,
    pub events: UnboundedSender<EdgeEvent>,
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        // The loop is gone only when the process is about to end.
        let _ = self.events.unbounded_send(EdgeEvent::Finished(self.call));
    }
}

/// Stream under way.
pub(super) struct RelayedStream {
    pub tools: ExchangeTools,
    pub request: ClientRequest,
    /// Route, for logs.
    pub route: Arc<str>,
    pub marks: CallMarks,
    pub guard: CallGuard,
    pub deadline: ClockTime,
    /// Silence after which the loop is asked.
    pub check_span: Duration,
    pub buffer: EventBuffer,
    /// Whether another server may go on with it.
    pub is_resumable: bool,
    pub pauses: PauseMeter,
}

/// How a client sees the pace of a stream.
#[derive(Clone, Copy, Debug)]
pub(super) struct PauseMeter {
    arrived_at: ClockTime,
    last_at: Option<ClockTime>,
    /// Time to the first event.
    first: Duration,
    /// Longest pause between two events.
    longest: Duration,
}

impl PauseMeter {
    /// Meter of a request that came in at an instant.
    pub fn new(arrived_at: ClockTime) -> Self {
        Self {
            arrived_at,
            last_at: None,
            first: Duration::ZERO,
            longest: Duration::ZERO,
        }
    }

    fn note(&mut self, now: ClockTime) {
        match self.last_at {
            None => self.first = now.since(self.arrived_at),
            Some(last) => self.longest = self.longest.max(now.since(last)),
        }
        self.last_at = Some(now);
    }
}

/// How a stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StreamEnd {
    Whole,
    Cut,
    Left,
}

impl StreamEnd {
    /// Word for metrics.
    fn as_str(self) -> &'static str {
        match self {
            Self::Whole => "whole",
            Self::Cut => "cut",
            Self::Left => "left",
        }
    }
}

impl RelayedStream {
    /// Passes events on until the stream is whole, can't go on, or nobody reads it.
    pub async fn run(mut self, first: IncomingResponse, mut body: BodySender) {
        let mut answer = first;
        let end = loop {
            match self.pass_on(answer, &mut body).await {
                Ok(end) => break end,
                Err(attempt) => match self.resume(attempt, &mut body).await {
                    Some(next) => answer = next,
                    None => break StreamEnd::Cut,
                },
            }
        };
        let last_event = self.buffer.last_id();
        let first_ms = self.pauses.first.as_millis() as u64;
        let pause_ms = self.pauses.longest.as_millis() as u64;
        log::info!(id:% = self.request.id, route:% = self.route, end:? = end, first_ms, pause_ms, last_event:? = last_event; "a stream ended");
        let metrics = self.tools.metrics.as_ref();
        self.marks.count_stream(metrics, end.as_str());
        self.marks
            .time(metrics, "first_event_seconds", self.pauses.first);
        self.marks
            .time(metrics, "longest_pause_seconds", self.pauses.longest);
        if end == StreamEnd::Cut {
            body.abort().await;
        }
    }

    /// Passes one server's events on; an error says how the attempt ended.
    async fn pass_on(
        &mut self,
        mut answer: IncomingResponse,
        body: &mut BodySender,
    ) -> Result<StreamEnd, AttemptEnd> {
        let clock = self.tools.clock.clone();
        let mut check_at = clock.now() + self.check_span;
        let mut noted_at: Option<ClockTime> = None;
        loop {
            let until = check_at.min(self.deadline);
            let chunk = {
                let next = pin!(answer.poll_chunk(until));
                let left = pin!(body.closed());
                match select(next, left).await {
                    Either::Left((chunk, _)) => chunk,
                    Either::Right(_) => return Ok(StreamEnd::Left),
                }
            };
            let now = clock.now();
            match chunk {
                Some(ChunkOutcome::Chunk(bytes)) => {
                    check_at = now + self.check_span;
                    if noted_at.is_none_or(|at| now.since(at) >= PROGRESS_PERIOD) {
                        noted_at = Some(now);
                        // The loop is gone only when the process is about to end.
                        let _ = self
                            .guard
                            .events
                            .unbounded_send(EdgeEvent::Progress(self.guard.call));
                    }
                    let events = if self.is_resumable {
                        self.buffer.push(&bytes)
                    } else {
                        bytes
                    };
                    if !events.is_empty() {
                        self.pauses.note(now);
                    }
                    if !events.is_empty() && body.send(events).await.is_err() {
                        return Ok(StreamEnd::Left);
                    }
                }
                Some(ChunkOutcome::End) => {
                    answer.finish();
                    let rest = self.buffer.take_rest();
                    if !rest.is_empty() && body.send(rest).await.is_err() {
                        return Ok(StreamEnd::Left);
                    }
                    return Ok(StreamEnd::Whole);
                }
                Some(ChunkOutcome::Lost) => return Err(AttemptEnd::Cut),
                None if now >= self.deadline => return Ok(StreamEnd::Cut),
                None => match self.tools.ask_stall(self.guard.call).await {
                    StallStep::Wait { until } => check_at = until,
                    StallStep::Abort => {
                        answer.abandon();
                        return Err(AttemptEnd::Stalled);
                    }
                },
            }
        }
    }

    /// Finds another server that goes on after the last whole event.
    async fn resume(&mut self, end: AttemptEnd, body: &mut BodySender) -> Option<IncomingResponse> {
        if !self.is_resumable {
            return None;
        }
        self.buffer.drop_partial();
        let work = async {
            let mut end = end;
            loop {
                log::info!(id:% = self.request.id, end = end.as_str(), last_event:? = self.buffer.last_id(); "a stream lost its server");
                let question = EdgeQuestion::Ended(self.guard.call, end);
                let Some(EdgeAnswer::Step(CallStep::Send(order))) =
                    self.tools.replies.request(question).await
                else {
                    return None;
                };
                let last_event = self.buffer.last_id();
                match self.tools.attempt(&self.request, &order, last_event).await {
                    AttemptOutcome::Answered(answer) if answer.parts.status.is_success() => {
                        return Some(*answer);
                    }
                    AttemptOutcome::Answered(answer) => {
                        super::exchange::keep_connection(*answer, self.tools.clock.as_ref());
                        end = AttemptEnd::Failed;
                    }
                    AttemptOutcome::Ended(next) => end = next,
                    AttemptOutcome::Late => return None,
                }
            }
        };
        let work = pin!(work);
        let left = pin!(body.closed());
        match select(work, left).await {
            Either::Left((answer, _)) => answer,
            Either::Right(_) => None,
        }
    }
}
