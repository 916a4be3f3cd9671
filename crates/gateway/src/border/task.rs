//! Task of one call: does what the loop decides, step by step.

use std::pin::pin;
use std::rc::Rc;

use base::prelude::*;
use futures_channel::mpsc::{UnboundedReceiver, UnboundedSender};
use futures_util::StreamExt;
use futures_util::future::{Either, select};

use super::exchange::CallExchange;
use super::executor::GatewayBorder;
use crate::{AttemptEnd, CallStep, GatewayEvent, SendOrder};

/// Task of one call.
pub struct CallTask {
    call: CallId,
    steps: UnboundedReceiver<CallStep>,
    events: UnboundedSender<GatewayEvent>,
    border: Rc<GatewayBorder>,
    exchange: CallExchange,
}

impl CallTask {
    /// Task that takes its steps from the border.
    pub fn new(
        call: CallId,
        border: Rc<GatewayBorder>,
        events: UnboundedSender<GatewayEvent>,
        exchange: CallExchange,
    ) -> Self {
        Self {
            call,
            steps: border.enlist(call),
            events,
            border,
            exchange,
        }
    }

    /// Runs until the call has ended.
    pub async fn run(mut self) {
        while let Some(step) = self.next_step().await {
            match step {
                CallStep::Send(order) => {
                    let (end, verdict) = self.attempt(&order).await;
                    let last = end == AttemptEnd::Answered;
                    self.report(end);
                    if last {
                        return;
                    }
                    if let Some(verdict) = verdict {
                        return self.conclude(verdict).await;
                    }
                }
                // The attempt that it is about has ended meanwhile.
                CallStep::Stop => {}
                verdict => return self.conclude(verdict).await,
            }
        }
    }

    async fn conclude(&mut self, verdict: CallStep) {
        match verdict {
            CallStep::Refuse(refusal) => self.exchange.refuse(&refusal).await,
            CallStep::Answer(answer) => self.exchange.answer(&answer),
            CallStep::Forget | CallStep::Stop | CallStep::Send(_) => {}
        }
    }

    async fn next_step(&mut self) -> Option<CallStep> {
        loop {
            match self.wait_step().await {
                Either::Left(step) => return step,
                Either::Right(()) => self.exchange.drop_caller(),
            }
            self.report(AttemptEnd::CallerGone);
        }
    }

    /// Next step, or the news that the caller has left.
    async fn wait_step(&mut self) -> Either<Option<CallStep>, ()> {
        let left = pin!(self.exchange.caller_left());
        match select(self.steps.next(), left).await {
            Either::Left((step, _)) => Either::Left(step),
            Either::Right(_) => Either::Right(()),
        }
    }

    /// Makes an attempt, unless the loop breaks it off: by a stop, or by the
    /// call's last step, which is returned.
    async fn attempt(&mut self, order: &SendOrder) -> (AttemptEnd, Option<CallStep>) {
        let (end, verdict) = self.race_attempt(order).await;
        self.exchange.log_failure(order, &end);
        (end, verdict)
    }

    async fn race_attempt(&mut self, order: &SendOrder) -> (AttemptEnd, Option<CallStep>) {
        let attempt = pin!(self.exchange.attempt(order));
        let broken = self.steps.next();
        match select(attempt, broken).await {
            Either::Left((end, _)) => (end, None),
            Either::Right((step, _)) => {
                let verdict = step.filter(|step| *step != CallStep::Stop);
                (AttemptEnd::Lost, verdict)
            }
        }
    }

    fn report(&self, end: AttemptEnd) {
        let call = self.call;
        // The loop may have ended at the drain limit.
        let _ = self
            .events
            .unbounded_send(GatewayEvent::AttemptEnded { call, end });
    }
}

impl Drop for CallTask {
    fn drop(&mut self) {
        self.border.dismiss(self.call);
    }
}
