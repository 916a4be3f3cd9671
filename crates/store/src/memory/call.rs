//! Futures of calls that wait for the clock or for an update.

use std::cell::RefCell;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use base::ManualClock;
use base::prelude::*;

use super::fault::WatchFault;
use super::state::MemoryState;
use crate::{ObjectKey, ReadOutcome, WatchOutcome};

/// Operation that a delayed call performs once it is due.
type DelayedOperation<T> = Box<dyn Fn(&mut MemoryState) -> T>;

/// Call that takes effect and completes at `due`.
pub(super) struct DelayedCall<T> {
    pub state: Rc<RefCell<MemoryState>>,
    pub clock: Rc<ManualClock>,
    pub due: ClockTime,
    pub operation: DelayedOperation<T>,
}

impl<T> Future for DelayedCall<T> {
    type Output = T;

    fn poll(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<T> {
        let mut state = self.state.borrow_mut();
        if self.clock.now() >= self.due {
            return Poll::Ready((self.operation)(&mut state));
        }
        state.wakers.push(context.waker().clone());
        Poll::Pending
    }
}

/// Watch of one object, complete at an update or at the deadline.
pub(super) struct WatchCall {
    pub state: Rc<RefCell<MemoryState>>,
    pub clock: Rc<ManualClock>,
    pub key: ObjectKey,
    pub after: ObjectVersion,
    pub deadline: ClockTime,
    pub fault: Option<WatchFault>,
}

impl Future for WatchCall {
    type Output = WatchOutcome;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<WatchOutcome> {
        let state = self.state.clone();
        let mut state = state.borrow_mut();
        let version = state.version_of(&self.key);
        let expired = self.clock.now() >= self.deadline;
        match self.fault {
            Some(WatchFault::Unavailable) => return Poll::Ready(WatchOutcome::Unavailable),
            Some(WatchFault::Silent) => return Poll::Pending,
            Some(WatchFault::MissesUpdate) if version > self.after => {
                self.fault = None;
                self.after = version;
            }
            _ if state.is_down || expired || version > self.after => {
                let found = state.find(&self.key);
                return Poll::Ready(watch_outcome(found, self.after));
            }
            _ => {}
        }
        state.wakers.push(context.waker().clone());
        Poll::Pending
    }
}

fn watch_outcome(found: ReadOutcome, after: ObjectVersion) -> WatchOutcome {
    match found {
        ReadOutcome::Found(object) if object.version == after => WatchOutcome::Unchanged,
        ReadOutcome::Found(object) => WatchOutcome::Changed(object),
        ReadOutcome::Missing => WatchOutcome::Missing,
        ReadOutcome::Unavailable => WatchOutcome::Unavailable,
    }
}
