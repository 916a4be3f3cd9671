//! Task of one call: does what the loop decides, step by step.

use std::pin::pin;
use std::rc::Rc;

use base::prelude::*;
use futures_channel::mpsc::{UnboundedReceiver, UnboundedSender};
use futures_util::StreamExt;
use futures_util::future::{Either, select};

use super::carrier::GatewayBorder;
use super::exchange::CallExchange;
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
                    let end = self.attempt(&order).await;
                    let last = end == AttemptEnd::Answered;
                    self.report(end);
                    if last {
                        return;
                    }
                }
                CallStep::Refuse(refusal) => return self.exchange.refuse(&refusal).await,
                CallStep::Answer(answer) => return self.exchange.answer(&answer),
                // The attempt that it is about has ended meanwhile.
                CallStep::Stop => {}
                CallStep::Forget => return,
            }
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

    /// Makes an attempt, unless the loop breaks it off.
    async fn attempt(&mut self, order: &SendOrder) -> AttemptEnd {
        let attempt = pin!(self.exchange.attempt(order));
        let stopped = pin!(wait_for_stop(&mut self.steps));
        match select(attempt, stopped).await {
            Either::Left((end, _)) => end,
            Either::Right(_) => AttemptEnd::Lost,
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

async fn wait_for_stop(steps: &mut UnboundedReceiver<CallStep>) {
    while let Some(step) = steps.next().await {
        if step == CallStep::Stop {
            return;
        }
    }
}

impl Drop for CallTask {
    fn drop(&mut self) {
        self.border.dismiss(self.call);
    }
}
