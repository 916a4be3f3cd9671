//! Attempts of one request that are open at the same time.
//!
//! A server that falls silent may be lost or may go on a moment later. Its attempt stays open
//! beside the next one until one of them makes progress, so that a next attempt that fails costs
//! the client nothing.

use std::rc::Rc;

use base::prelude::*;
use futures_util::future::{LocalBoxFuture, select_all};
use http::response::Parts;
use net::web::{ChunkOutcome, IncomingResponse, WebResponse};
use net::with_deadline;
use relay::{AttemptEnd, AttemptId, SendOrder, StallStep};

use super::attempt::{AttemptContext, AttemptOutcome, ClientRequest};
use super::events::EventBuffer;

/// Time without a complete event after which the event loop is asked about a stream's server.
const STREAM_CHECK_TIMEOUT: Duration = Duration::from_millis(170);

/// What the attempts of a request bring next.
pub(super) enum AttemptSignal {
    /// The headers of a usable response; the caller decides whether its body is read.
    Response(SendOrder, Box<IncomingResponse>),
    /// The next part of a body that is read.
    Chunk(AttemptId, ChunkOutcome),
    /// A response that was read to its end; nothing if it broke off.
    Collected(SendOrder, Option<WebResponse>),
    /// An attempt has ended without a usable response.
    Ended(SendOrder, AttemptEnd),
    /// The deadline has passed.
    DeadlinePassed,
}

/// Open attempt.
struct OpenAttempt {
    order: SendOrder,
    progress: AttemptProgress,
}

enum AttemptProgress {
    /// The request was sent.
    Sent(LocalBoxFuture<'static, AttemptOutcome>),
    /// The body of the response is read, part by part.
    Responding(Box<IncomingResponse>, EventBuffer),
    /// The body of the response is read to its end.
    Collecting(LocalBoxFuture<'static, Option<WebResponse>>),
}

impl OpenAttempt {
    async fn next(&mut self) -> Step {
        match &mut self.progress {
            AttemptProgress::Sent(outcome) => Step::Outcome(outcome.await),
            AttemptProgress::Responding(response, _) => Step::Chunk(response.read_chunk().await),
            AttemptProgress::Collecting(response) => Step::Collected(response.await),
        }
    }
}

enum Step {
    Outcome(AttemptOutcome),
    Chunk(ChunkOutcome),
    Collected(Option<WebResponse>),
}

/// Open attempts of one request, the latest one last.
pub(super) struct OpenAttempts {
    context: AttemptContext,
    request: Rc<ClientRequest>,
    deadline: ClockTime,
    attempts: Vec<OpenAttempt>,
    /// Whether the client has got the head of the response.
    is_answering: bool,
    /// Instant at which the event loop is asked about the latest attempt.
    check_at: ClockTime,
}

impl OpenAttempts {
    /// No attempts yet.
    pub fn new(context: AttemptContext, request: Rc<ClientRequest>, deadline: ClockTime) -> Self {
        Self {
            context,
            request,
            deadline,
            attempts: Vec::new(),
            is_answering: false,
            check_at: deadline,
        }
    }

    /// Records that the client gets the head of the response.
    pub fn begin_answer(&mut self) {
        self.is_answering = true;
    }

    /// Number of open attempts.
    pub fn count(&self) -> usize {
        self.attempts.len()
    }

    /// Sends the request once more.
    pub fn send(&mut self, order: SendOrder, last_event: Option<u64>) {
        self.check_at = order.check_at;
        let (context, request) = (self.context.clone(), self.request.clone());
        let outcome = context.attempt(request, order.clone(), last_event);
        let progress = AttemptProgress::Sent(Box::pin(outcome));
        self.add(OpenAttempt { order, progress });
    }

    /// Reads the body of a response; its attempt is open again.
    pub fn read(&mut self, order: SendOrder, response: Box<IncomingResponse>, buffer: EventBuffer) {
        let attempt = order.attempt;
        let progress = AttemptProgress::Responding(response, buffer);
        self.add(OpenAttempt { order, progress });
        if self.latest() == Some(attempt) {
            self.check_at = self.context.clock.now() + STREAM_CHECK_TIMEOUT;
        }
    }

    /// Reads a response to its end while the other attempts stay open.
    pub fn collect(
        &mut self,
        order: SendOrder,
        response: LocalBoxFuture<'static, Option<WebResponse>>,
    ) {
        let attempt = order.attempt;
        let progress = AttemptProgress::Collecting(response);
        self.add(OpenAttempt { order, progress });
        if self.latest() == Some(attempt) {
            // It has answered, so its server is not silent.
            self.check_at = self.deadline;
        }
    }

    fn add(&mut self, attempt: OpenAttempt) {
        let number = attempt.order.attempt.number;
        let is_earlier = |other: &OpenAttempt| other.order.attempt.number < number;
        let position = self.attempts.partition_point(is_earlier);
        self.attempts.insert(position, attempt);
    }

    fn latest(&self) -> Option<AttemptId> {
        self.attempts.last().map(|attempt| attempt.order.attempt)
    }

    /// Buffer of a response that is read.
    pub fn buffer(&mut self, attempt: AttemptId) -> Option<&mut EventBuffer> {
        let mut attempts = self.attempts.iter_mut();
        let open = attempts.find(|open| open.order.attempt == attempt)?;
        match &mut open.progress {
            AttemptProgress::Responding(_, buffer) => Some(buffer),
            AttemptProgress::Sent(_) | AttemptProgress::Collecting(_) => None,
        }
    }

    /// Records that a stream has made progress, and ends its other attempts; returns whether there
    /// were any.
    pub fn keep_only(&mut self, attempt: AttemptId) -> bool {
        self.check_at = self.context.clock.now() + STREAM_CHECK_TIMEOUT;
        let before = self.attempts.len();
        if before > 1 {
            self.attempts.retain(|open| open.order.attempt == attempt);
        }
        self.attempts.len() < before
    }

    /// Postpones the check after a time in which nothing was read, as the client was not ready.
    pub fn postpone_check(&mut self) {
        let check_at = self.context.clock.now() + STREAM_CHECK_TIMEOUT;
        self.check_at = self.check_at.max(check_at);
    }

    /// Takes an attempt out.
    pub fn remove(&mut self, attempt: AttemptId) -> Option<(SendOrder, Option<IncomingResponse>)> {
        let mut attempts = self.attempts.iter();
        let index = attempts.position(|open| open.order.attempt == attempt)?;
        let open = self.take(index);
        let response = match open.progress {
            AttemptProgress::Responding(response, _) => Some(*response),
            AttemptProgress::Sent(_) | AttemptProgress::Collecting(_) => None,
        };
        Some((open.order, response))
    }

    /// Takes an attempt out. The one before it becomes the latest, and is checked at once.
    fn take(&mut self, index: usize) -> OpenAttempt {
        if index + 1 == self.attempts.len() {
            self.check_at = self.check_at.min(self.context.clock.now());
        }
        self.attempts.remove(index)
    }

    /// Parts of the head of a response that is read.
    pub fn head(&self, attempt: AttemptId) -> Option<&Parts> {
        let mut attempts = self.attempts.iter();
        let open = attempts.find(|open| open.order.attempt == attempt)?;
        match &open.progress {
            AttemptProgress::Responding(response, _) => Some(&response.parts),
            AttemptProgress::Sent(_) | AttemptProgress::Collecting(_) => None,
        }
    }

    /// Waits for what comes next, and asks the event loop about a latest attempt that is silent.
    ///
    /// Nothing is lost if the future is dropped while it waits for the servers.
    pub async fn next(&mut self, last_event: Option<u64>) -> AttemptSignal {
        loop {
            let until = self.check_at.min(self.deadline);
            if let Some((index, step)) = self.wait(until).await {
                return self.signal(index, step);
            }
            let Some(latest) = self.latest().filter(|_| !self.is_late()) else {
                return AttemptSignal::DeadlinePassed;
            };
            let (context, request) = (&self.context, &self.request);
            match context
                .check_stall(request, latest, self.is_answering)
                .await
            {
                StallStep::Wait { until } => self.check_at = until,
                StallStep::Move(_, order) => {
                    self.drop_idle_of_latest();
                    self.send(*order, last_event);
                }
                StallStep::Abort(_) => {
                    self.drop_idle_of_latest();
                    if let Some((order, _)) = self.remove(latest) {
                        return AttemptSignal::Ended(order, AttemptEnd::Stalled);
                    }
                }
            }
        }
    }

    fn is_late(&self) -> bool {
        self.context.clock.now() >= self.deadline
    }

    /// Drops the idle connections to a silent server, which may have gone silent with it.
    fn drop_idle_of_latest(&self) {
        if let Some(AttemptProgress::Responding(response, _)) =
            self.attempts.last().map(|attempt| &attempt.progress)
        {
            response.drop_idle();
        }
    }

    /// Waits until an attempt has something; `None` at `until`.
    async fn wait(&mut self, until: ClockTime) -> Option<(usize, Step)> {
        let clock = self.context.clock.as_ref();
        if let [attempt] = self.attempts.as_mut_slice() {
            let step = with_deadline(clock, until, attempt.next()).await?;
            return Some((0, step));
        }
        if self.attempts.is_empty() {
            return with_deadline(clock, until, std::future::pending()).await;
        }
        let steps = self.attempts.iter_mut();
        let steps = steps.map(|attempt| -> LocalBoxFuture<'_, Step> { Box::pin(attempt.next()) });
        let (step, index, _) = with_deadline(clock, until, select_all(steps)).await?;
        Some((index, step))
    }

    /// What a step means. A send or a collection that has finished is no longer open.
    fn signal(&mut self, index: usize, step: Step) -> AttemptSignal {
        if let Step::Chunk(chunk) = step {
            return AttemptSignal::Chunk(self.attempts[index].order.attempt, chunk);
        }
        let order = self.take(index).order;
        match step {
            Step::Chunk(chunk) => AttemptSignal::Chunk(order.attempt, chunk),
            Step::Collected(response) => AttemptSignal::Collected(order, response),
            Step::Outcome(AttemptOutcome::Response(response)) => {
                AttemptSignal::Response(order, response)
            }
            Step::Outcome(AttemptOutcome::Ended(end)) => AttemptSignal::Ended(order, end),
            Step::Outcome(AttemptOutcome::DeadlinePassed) => AttemptSignal::DeadlinePassed,
        }
    }
}
