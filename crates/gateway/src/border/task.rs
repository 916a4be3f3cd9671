//! Task of one call: executes the steps that the event loop decides.

use std::pin::pin;
use std::rc::Rc;

use base::prelude::*;
use futures_channel::mpsc::{UnboundedReceiver, UnboundedSender};
use futures_util::StreamExt;
use futures_util::future::{Either, select};

use super::exchange::CallExchange;
use super::executor::GatewayExecutor;
use crate::{AttemptEnd, CallStep, GatewayEvent, SendOrder};

/// Task of one call.
pub struct CallTask {
    call: CallId,
    steps: UnboundedReceiver<CallStep>,
    events: UnboundedSender<GatewayEvent>,
    executor: Rc<GatewayExecutor>,
    exchange: CallExchange,
}

impl CallTask {
    /// Creates the task and registers it with the executor for its steps.
    pub fn new(
        call: CallId,
        executor: Rc<GatewayExecutor>,
        events: UnboundedSender<GatewayEvent>,
        exchange: CallExchange,
    ) -> Self {
        Self {
            call,
            steps: executor.register_task(call),
            events,
            executor,
            exchange,
        }
    }

    /// Runs until the call has ended.
    pub async fn run(mut self) {
        while let Some(step) = self.next_step().await {
            match step {
                CallStep::Send(order) => {
                    let (end, last_step) = self.attempt(&order).await;
                    let is_answered = end == AttemptEnd::Answered;
                    self.report(end);
                    if is_answered {
                        return;
                    }
                    if let Some(last_step) = last_step {
                        return self.finish(last_step).await;
                    }
                }
                // The attempt to abort has ended meanwhile.
                CallStep::Abort => {}
                last_step => return self.finish(last_step).await,
            }
        }
    }

    async fn finish(&mut self, last_step: CallStep) {
        match last_step {
            CallStep::Refuse(refusal) => self.exchange.refuse(&refusal).await,
            CallStep::Respond(response) => self.exchange.respond(&response),
            CallStep::Discard | CallStep::Abort | CallStep::Send(_) => {}
        }
    }

    async fn next_step(&mut self) -> Option<CallStep> {
        loop {
            match self.wait_step().await {
                Either::Left(step) => return step,
                Either::Right(()) => self.exchange.drop_caller(),
            }
            self.report(AttemptEnd::CallerDisconnected);
        }
    }

    /// Waits for the next step or until the caller disconnects.
    async fn wait_step(&mut self) -> Either<Option<CallStep>, ()> {
        let disconnected = pin!(self.exchange.caller_disconnected());
        match select(self.steps.next(), disconnected).await {
            Either::Left((step, _)) => Either::Left(step),
            Either::Right(_) => Either::Right(()),
        }
    }

    /// Makes an attempt, unless the loop ends it: by an abort, or by the call's last
    /// step, which is returned.
    async fn attempt(&mut self, order: &SendOrder) -> (AttemptEnd, Option<CallStep>) {
        let (end, last_step) = self.run_attempt(order).await;
        self.exchange.log_failure(order, &end);
        (end, last_step)
    }

    async fn run_attempt(&mut self, order: &SendOrder) -> (AttemptEnd, Option<CallStep>) {
        let attempt = pin!(self.exchange.attempt(order));
        let next_step = self.steps.next();
        match select(attempt, next_step).await {
            Either::Left((end, _)) => (end, None),
            Either::Right((step, _)) => {
                let last_step = step.filter(|step| *step != CallStep::Abort);
                (AttemptEnd::Lost, last_step)
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
        self.executor.remove_task(self.call);
    }
}
