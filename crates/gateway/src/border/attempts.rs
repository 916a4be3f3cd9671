//! Attempts of one call that are open at the same time.
//!
//! An endpoint that falls silent may be lost or may go on a moment later. Its attempt
//! stays open beside the next one until one of them goes on.

use base::prelude::*;
use bytes::Bytes;
use futures_util::future::{LocalBoxFuture, select_all};
use net::web::{CallOutcome, ChunkOutcome, CollectOutcome, IncomingResponse};
use net::with_deadline;

use super::events::EventSplitter;
use crate::{AttemptNumber, SendOrder};

/// What the attempts of a call bring next.
pub(super) enum AttemptSignal {
    /// The request got response headers, or failed; the attempt is no longer open.
    Response(SendOrder, CallOutcome),
    /// The response that isn't streamed was read, or failed; the attempt is no longer
    /// open.
    Collected(SendOrder, CollectOutcome),
    /// The next event of a stream.
    Event(AttemptNumber, Bytes),
    /// The end of a stream's body.
    StreamEnded(AttemptNumber),
    /// A stream is incomplete, or one of its events is too long.
    StreamLost(AttemptNumber),
    /// A stream has had no event for the silence limit.
    Silent(AttemptNumber),
}

/// Attempt that has not ended.
pub(super) struct OpenAttempt {
    pub order: SendOrder,
    pub is_suspended: bool,
    progress: AttemptProgress,
    silence: SilenceCheck,
}

enum AttemptProgress {
    /// The request was sent.
    Sent(LocalBoxFuture<'static, CallOutcome>),
    /// The events of the response are read.
    Streaming(Box<IncomingResponse>, EventSplitter),
    /// The whole response is read.
    Collecting(LocalBoxFuture<'static, CollectOutcome>),
}

enum SilenceCheck {
    /// Silence is normal: no event was forwarded yet.
    Unchecked,
    /// Silent if there is no event until then.
    Until(ClockTime),
    /// The silence was reported.
    Reported,
}

impl OpenAttempt {
    /// Attempt whose request was sent; `silent_at` if events were forwarded before.
    pub fn sent(
        order: SendOrder,
        outcome: LocalBoxFuture<'static, CallOutcome>,
        silent_at: Option<ClockTime>,
    ) -> Self {
        Self {
            order,
            is_suspended: false,
            progress: AttemptProgress::Sent(outcome),
            silence: silent_at.map_or(SilenceCheck::Unchecked, SilenceCheck::Until),
        }
    }

    /// Attempt whose events are read.
    pub fn streaming(
        order: SendOrder,
        response: Box<IncomingResponse>,
        silent_at: ClockTime,
    ) -> Self {
        Self {
            order,
            is_suspended: false,
            progress: AttemptProgress::Streaming(response, EventSplitter::default()),
            silence: SilenceCheck::Until(silent_at),
        }
    }

    /// Attempt whose whole response is read.
    pub fn collecting(order: SendOrder, response: LocalBoxFuture<'static, CollectOutcome>) -> Self {
        Self {
            order,
            is_suspended: false,
            progress: AttemptProgress::Collecting(response),
            silence: SilenceCheck::Unchecked,
        }
    }

    /// Whether the response is expected to go on.
    fn is_active(&self) -> bool {
        !self.is_suspended && !self.is_silent()
    }

    fn is_silent(&self) -> bool {
        matches!(self.silence, SilenceCheck::Reported)
    }

    fn silent_at(&self) -> Option<ClockTime> {
        match self.silence {
            SilenceCheck::Until(silent_at) if !self.is_suspended => Some(silent_at),
            _ => None,
        }
    }

    /// Next complete event that was received already; the error is an event that is too
    /// long.
    fn next_event(&mut self) -> Result<Option<Bytes>, EventTooLong> {
        let AttemptProgress::Streaming(_, splitter) = &mut self.progress else {
            return Ok(None);
        };
        match splitter.next_event() {
            None if splitter.is_too_long() => Err(EventTooLong),
            event => Ok(event),
        }
    }

    /// Waits for the network; nothing is lost if the future is dropped.
    async fn next(&mut self) -> NetworkStep {
        match &mut self.progress {
            AttemptProgress::Sent(outcome) => NetworkStep::Response(outcome.await),
            AttemptProgress::Streaming(response, _) => {
                NetworkStep::Chunk(response.read_chunk().await)
            }
            AttemptProgress::Collecting(response) => NetworkStep::Collected(response.await),
        }
    }

    /// Response of a stream.
    pub fn into_response(self) -> Option<IncomingResponse> {
        match self.progress {
            AttemptProgress::Streaming(response, _) => Some(*response),
            AttemptProgress::Sent(_) | AttemptProgress::Collecting(_) => None,
        }
    }
}

struct EventTooLong;

enum NetworkStep {
    Response(CallOutcome),
    Chunk(ChunkOutcome),
    Collected(CollectOutcome),
}

/// Open attempts of one call, the latest one last.
#[derive(Default)]
pub(super) struct OpenAttempts(Vec<OpenAttempt>);

impl OpenAttempts {
    /// Adds the latest attempt, or one that has made a step.
    pub fn add(&mut self, attempt: OpenAttempt) {
        let number = attempt.order.attempt;
        let is_earlier = |other: &OpenAttempt| other.order.attempt < number;
        let position = self.0.partition_point(is_earlier);
        self.0.insert(position, attempt);
    }

    /// Takes an attempt out.
    pub fn remove(&mut self, number: AttemptNumber) -> Option<OpenAttempt> {
        let position = self.position(number)?;
        Some(self.0.remove(position))
    }

    /// Takes out all attempts but this one.
    pub fn remove_others(&mut self, number: AttemptNumber) -> Vec<OpenAttempt> {
        let attempts = std::mem::take(&mut self.0).into_iter();
        let (kept, others) = attempts.partition(|open| open.order.attempt == number);
        self.0 = kept;
        others
    }

    /// Takes out all attempts.
    pub fn remove_all(&mut self) -> Vec<OpenAttempt> {
        std::mem::take(&mut self.0)
    }

    /// Order of an open attempt.
    pub fn order(&self, number: AttemptNumber) -> Option<&SendOrder> {
        let position = self.position(number)?;
        Some(&self.0[position].order)
    }

    /// Whether a response is expected to go on.
    pub fn has_active(&self) -> bool {
        self.0.iter().any(OpenAttempt::is_active)
    }

    /// Suspends an attempt, which is then no longer read.
    pub fn suspend(&mut self, number: AttemptNumber) {
        if let Some(position) = self.position(number) {
            self.0[position].is_suspended = true;
        }
    }

    /// Resumes a suspended attempt.
    pub fn resume(&mut self, number: AttemptNumber, silent_at: ClockTime) {
        let Some(position) = self.position(number) else {
            return;
        };
        let attempt = &mut self.0[position];
        attempt.is_suspended = false;
        if let SilenceCheck::Until(until) = &mut attempt.silence {
            *until = silent_at;
        }
    }

    /// Records an event of a stream; returns whether the stream was silent.
    pub fn record_event(&mut self, number: AttemptNumber, silent_at: ClockTime) -> bool {
        let Some(position) = self.position(number) else {
            return false;
        };
        let attempt = &mut self.0[position];
        let was_silent = attempt.is_silent();
        attempt.silence = SilenceCheck::Until(silent_at);
        was_silent
    }

    /// Waits for what comes next from the attempts that aren't suspended.
    ///
    /// Nothing is lost if the future is dropped.
    pub async fn wait(&mut self, clock: &dyn ClockSource) -> AttemptSignal {
        loop {
            if let Some(signal) = self.received_signal() {
                return signal;
            }
            // Looked at before the network, where a server that sends without end always
            // has something.
            if let Some(number) = self.take_silent(clock.now()) {
                return AttemptSignal::Silent(number);
            }
            let silent_at = self.0.iter().filter_map(OpenAttempt::silent_at).min();
            let step = match silent_at {
                Some(until) => with_deadline(clock, until, self.wait_network()).await,
                None => Some(self.wait_network().await),
            };
            let signal = step.and_then(|(index, step)| self.apply(index, step));
            if let Some(signal) = signal {
                return signal;
            }
        }
    }

    fn position(&self, number: AttemptNumber) -> Option<usize> {
        let mut attempts = self.0.iter();
        attempts.position(|open| open.order.attempt == number)
    }

    /// Signal that needs no more data.
    fn received_signal(&mut self) -> Option<AttemptSignal> {
        let attempts = self.0.iter_mut().filter(|attempt| !attempt.is_suspended);
        for attempt in attempts {
            let number = attempt.order.attempt;
            match attempt.next_event() {
                Ok(None) => {}
                Ok(Some(event)) => return Some(AttemptSignal::Event(number, event)),
                Err(EventTooLong) => return Some(AttemptSignal::StreamLost(number)),
            }
        }
        None
    }

    /// Attempt that has just become silent.
    fn take_silent(&mut self, now: ClockTime) -> Option<AttemptNumber> {
        let mut attempts = self.0.iter_mut();
        let silent = |attempt: &&mut OpenAttempt| attempt.silent_at().is_some_and(|at| at <= now);
        let attempt = attempts.find(silent)?;
        attempt.silence = SilenceCheck::Reported;
        Some(attempt.order.attempt)
    }

    async fn wait_network(&mut self) -> (usize, NetworkStep) {
        let attempts = self.0.iter_mut().enumerate();
        let readable = attempts.filter(|(_, attempt)| !attempt.is_suspended);
        let steps = readable.map(|(index, attempt)| -> LocalBoxFuture<'_, _> {
            Box::pin(async move { (index, attempt.next().await) })
        });
        let steps: Vec<_> = steps.collect();
        if steps.is_empty() {
            return std::future::pending().await;
        }
        select_all(steps).await.0
    }

    /// Signal of a step of the network; `None` if a stream has only got more bytes.
    fn apply(&mut self, index: usize, step: NetworkStep) -> Option<AttemptSignal> {
        let number = self.0[index].order.attempt;
        match step {
            NetworkStep::Response(outcome) => {
                let order = self.0.remove(index).order;
                Some(AttemptSignal::Response(order, outcome))
            }
            NetworkStep::Collected(outcome) => {
                let order = self.0.remove(index).order;
                Some(AttemptSignal::Collected(order, outcome))
            }
            NetworkStep::Chunk(ChunkOutcome::Chunk(chunk)) => {
                if let AttemptProgress::Streaming(_, splitter) = &mut self.0[index].progress {
                    splitter.push(&chunk);
                }
                None
            }
            NetworkStep::Chunk(ChunkOutcome::End) => Some(AttemptSignal::StreamEnded(number)),
            NetworkStep::Chunk(ChunkOutcome::Lost) => Some(AttemptSignal::StreamLost(number)),
        }
    }
}
