//! Task of one call: executes the steps that the event loop decides.

use std::pin::pin;
use std::rc::Rc;

use base::prelude::*;
use futures_channel::mpsc::UnboundedReceiver;
use futures_util::StreamExt;
use futures_util::future::{Either, select};

use super::exchange::{CallExchange, ExchangeProgress, ExchangeSignal};
use super::executor::GatewayExecutor;
use crate::CallStep;

/// Task of one call.
pub struct CallTask {
    call: CallId,
    steps: UnboundedReceiver<CallStep>,
    executor: Rc<GatewayExecutor>,
    exchange: CallExchange,
}

impl CallTask {
    /// Creates the task and registers it with the executor for its steps.
    pub fn new(call: CallId, executor: Rc<GatewayExecutor>, exchange: CallExchange) -> Self {
        Self {
            call,
            steps: executor.register_task(call),
            executor,
            exchange,
        }
    }

    /// Runs until the call has ended.
    pub async fn run(mut self) {
        loop {
            match self.next().await {
                Either::Left(None) => return,
                Either::Left(Some(step)) => {
                    if let Some(last_step) = self.apply(step) {
                        return self.finish(last_step).await;
                    }
                }
                Either::Right(signal) => {
                    if self.exchange.handle(signal).await == ExchangeProgress::Answered {
                        return;
                    }
                }
            }
        }
    }

    /// Waits for the next step or for something to handle.
    async fn next(&mut self) -> Either<Option<CallStep>, ExchangeSignal> {
        let signal = pin!(self.exchange.wait());
        match select(self.steps.next(), signal).await {
            Either::Left((step, _)) => Either::Left(step),
            Either::Right((signal, _)) => Either::Right(signal),
        }
    }

    /// Applies a step; returns it if it is the last one.
    fn apply(&mut self, step: CallStep) -> Option<CallStep> {
        match step {
            CallStep::Send(order) => self.exchange.send(order),
            CallStep::Abort(attempt) => self.exchange.abort(attempt),
            CallStep::Suspend(attempt) => self.exchange.suspend(attempt),
            CallStep::Resume(attempt) => self.exchange.resume(attempt),
            last_step => return Some(last_step),
        }
        None
    }

    async fn finish(&mut self, last_step: CallStep) {
        self.exchange.abort_all();
        match last_step {
            CallStep::Refuse(refusal) => self.exchange.refuse(&refusal).await,
            CallStep::Respond(response) => self.exchange.respond(&response),
            CallStep::Send(_)
            | CallStep::Abort(_)
            | CallStep::Suspend(_)
            | CallStep::Resume(_)
            | CallStep::Discard => {}
        }
    }
}

impl Drop for CallTask {
    fn drop(&mut self) {
        self.executor.remove_task(self.call);
    }
}
