//! Answer of a server to an attempt that this node carries for another one.
//!
//! The event loop is told how far the answer has come, as it is of a request of this node's own, so
//! that a crash of the server is judged by the stage that the answer had not reached.

use std::pin::pin;
use std::rc::Rc;

use base::prelude::*;
use bytes::Bytes;
use futures_util::future::{Either, select};
use net::web::{BodySender, ChunkOutcome, IncomingResponse};
use relay::AttemptId;

use super::events::EventBuffer;
use super::stream::{CallGuard, PROGRESS_INTERVAL};
use crate::EdgeEvent;

/// What a response says about its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AnswerKind {
    /// Nothing: the request was not run, or the other node discards the response.
    NotRun,
    /// The server is done with the request at its end.
    Plain,
    /// The server has come as far as its events show.
    Stream,
}

/// Response of a server that is streamed back, and how far it has come.
pub(super) struct CarriedAnswer {
    clock: Rc<dyn ClockSource>,
    deadline: ClockTime,
    kind: AnswerKind,
    /// Events that are not complete yet; `None` if the response is no stream, or can't be read.
    buffer: Option<EventBuffer>,
    /// Whether its first complete event was reported.
    is_answered: bool,
    /// Instant at which progress was last reported.
    progress_sent_at: Option<ClockTime>,
    /// Ends the attempt in the event loop when it is dropped.
    guard: CallGuard,
}

impl CarriedAnswer {
    /// Answer of which nothing has been read yet.
    pub fn new(
        clock: Rc<dyn ClockSource>,
        deadline: ClockTime,
        kind: AnswerKind,
        guard: CallGuard,
    ) -> Self {
        Self {
            clock,
            deadline,
            kind,
            buffer: (kind == AnswerKind::Stream).then(|| EventBuffer::after(None)),
            is_answered: false,
            progress_sent_at: None,
            guard,
        }
    }

    /// Streams a body until its end, until it breaks off or until the other node disconnects.
    pub async fn copy_body(mut self, mut incoming: IncomingResponse, mut sender: BodySender) {
        loop {
            let chunk = {
                let next = pin!(incoming.next_chunk(self.deadline));
                let disconnected = pin!(sender.closed());
                match select(next, disconnected).await {
                    Either::Left((chunk, _)) => chunk,
                    Either::Right(_) => return,
                }
            };
            match chunk {
                ChunkOutcome::Chunk(bytes) => {
                    self.record_chunk(&bytes);
                    if sender.send(bytes).await.is_err() {
                        return;
                    }
                }
                ChunkOutcome::End => {
                    self.record_end();
                    incoming.finish();
                    return;
                }
                ChunkOutcome::Lost => {
                    self.record_break();
                    sender.abort().await;
                    return;
                }
            }
        }
    }

    /// Reports complete events.
    fn record_chunk(&mut self, bytes: &Bytes) {
        let Some(buffer) = &mut self.buffer else {
            return;
        };
        let Ok(events) = buffer.push(bytes) else {
            self.buffer = None;
            return;
        };
        if events.is_empty() {
            return;
        }
        let call = self.guard.call;
        if !std::mem::replace(&mut self.is_answered, true) {
            self.report(EdgeEvent::Answered(call));
        }
        let now = self.clock.now();
        let is_due = |at: ClockTime| now.since(at) >= PROGRESS_INTERVAL;
        if self.progress_sent_at.is_none_or(is_due) {
            self.progress_sent_at = Some(now);
            self.report(EdgeEvent::Progress(AttemptId { call, number: 1 }));
        }
    }

    /// Reports that the response is complete; one that ends within an event was broken off.
    fn record_end(&self) {
        let call = self.guard.call;
        let is_broken = (self.buffer.as_ref()).is_some_and(EventBuffer::is_within_event);
        self.report(match is_broken {
            true => EdgeEvent::PassBroken(call),
            false => EdgeEvent::Completed(call),
        });
    }

    /// Reports that the server broke off, unless the deadline has passed.
    fn record_break(&self) {
        if self.clock.now() < self.deadline {
            self.report(EdgeEvent::PassBroken(self.guard.call));
        }
    }

    fn report(&self, event: EdgeEvent) {
        if self.kind == AnswerKind::NotRun {
            return;
        }
        // The event loop ends only when the process is about to exit.
        let _ = self.guard.events.unbounded_send(event);
    }
}
