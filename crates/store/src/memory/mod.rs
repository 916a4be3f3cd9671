//! In-memory store for tests, demos and measurements, with faults on demand.
//!
//! Its clock moves only by [`MemoryStore::advance`], so that slow calls, late
//! updates and watches end when a test says so.

mod call;
mod fault;
mod state;

use std::cell::RefCell;
use std::rc::Rc;

use base::ManualClock;
use base::prelude::*;
use futures_util::future::{LocalBoxFuture, ready};

use crate::{
    ListOutcome, ObjectChange, ObjectKey, ObjectStore, ReadOutcome, RemoveOutcome, UpdateOutcome,
    WatchOutcome,
};
use call::{SlowCall, WatchCall};
use state::MemoryState;

pub use fault::{ReadFault, UpdateFault, WatchFault};

/// Store in this process's memory; clones share their objects.
#[derive(Clone, Default)]
pub struct MemoryStore {
    state: Rc<RefCell<MemoryState>>,
    clock: Rc<ManualClock>,
}

impl MemoryStore {
    /// Starts or ends an outage.
    pub fn set_down(&self, down: bool) {
        let mut state = self.state.borrow_mut();
        state.down = down;
        state.wake_all();
    }

    /// Moves the store's clock: late updates arrive, slow calls and watches end.
    pub fn advance(&self, span: Duration) {
        self.clock.advance(span);
        let mut state = self.state.borrow_mut();
        state.deliver_late(self.clock.now());
        state.wake_all();
    }

    /// The store's clock.
    pub fn clock(&self) -> &ManualClock {
        &self.clock
    }

    /// Queues faults for the next updates, one entry each.
    pub fn inject_update_faults(&self, faults: impl IntoIterator<Item = Option<UpdateFault>>) {
        self.state.borrow_mut().update_faults.extend(faults);
    }

    /// Queues faults for the next reads, one entry each.
    pub fn inject_read_faults(&self, faults: impl IntoIterator<Item = Option<ReadFault>>) {
        self.state.borrow_mut().read_faults.extend(faults);
    }

    /// Queues faults for the next watches, one entry each.
    pub fn inject_watch_faults(&self, faults: impl IntoIterator<Item = Option<WatchFault>>) {
        self.state.borrow_mut().watch_faults.extend(faults);
    }

    /// Puts an object back to what it was before its last update, version and
    /// all, as a restored backup would.
    pub fn restore_previous(&self, key: &ObjectKey) {
        let mut state = self.state.borrow_mut();
        match state.previous.get(key).cloned() {
            Some(object) => state.objects.insert(key.clone(), object),
            None => state.objects.remove(key),
        };
        state.wake_all();
    }

    /// Calls received so far; a watch counts as one.
    pub fn calls(&self) -> u64 {
        self.state.borrow().calls
    }

    fn count_call(&self) {
        self.state.borrow_mut().calls += 1;
    }

    fn slow_call<T: 'static>(
        &self,
        span: Duration,
        end: impl Fn(&mut MemoryState) -> T + 'static,
    ) -> LocalBoxFuture<'static, T> {
        Box::pin(SlowCall {
            state: self.state.clone(),
            clock: self.clock.clone(),
            due: self.clock.now() + span,
            end: Box::new(end),
        })
    }

    fn update_now(&self, change: ObjectChange, fault: Option<UpdateFault>) -> UpdateOutcome {
        let mut state = self.state.borrow_mut();
        match fault {
            _ if state.down => UpdateOutcome::Unavailable,
            None | Some(UpdateFault::Slow(_)) => state.apply(change),
            Some(UpdateFault::Unavailable) => UpdateOutcome::Unavailable,
            Some(UpdateFault::RequestLost) => UpdateOutcome::Unknown,
            Some(UpdateFault::Conflict) => UpdateOutcome::Conflict,
            Some(UpdateFault::ReplyLost) => {
                state.apply(change);
                UpdateOutcome::Unknown
            }
            Some(UpdateFault::ArrivesLate(span)) => {
                let due = self.clock.now() + span;
                state.late.push((due, change));
                UpdateOutcome::Unknown
            }
        }
    }
}

impl ObjectStore for MemoryStore {
    fn read(&self, key: &ObjectKey) -> LocalBoxFuture<'static, ReadOutcome> {
        self.count_call();
        let fault = self.state.borrow_mut().read_faults.next();
        let key = key.clone();
        match fault {
            Some(ReadFault::Slow(span)) => self.slow_call(span, move |state| state.find(&key)),
            Some(ReadFault::Unavailable) => Box::pin(ready(ReadOutcome::Unavailable)),
            Some(ReadFault::Stale) => Box::pin(ready(self.state.borrow().find_previous(&key))),
            None => Box::pin(ready(self.state.borrow().find(&key))),
        }
    }

    fn list(&self, prefix: &str) -> LocalBoxFuture<'static, ListOutcome> {
        self.count_call();
        Box::pin(ready(self.state.borrow().list(prefix)))
    }

    fn update(&self, change: ObjectChange) -> LocalBoxFuture<'static, UpdateOutcome> {
        self.count_call();
        let fault = self.state.borrow_mut().update_faults.next();
        if let Some(UpdateFault::Slow(span)) = fault {
            return self.slow_call(span, move |state| state.apply(change.clone()));
        }
        Box::pin(ready(self.update_now(change, fault)))
    }

    fn remove(
        &self,
        key: &ObjectKey,
        expected: ObjectVersion,
    ) -> LocalBoxFuture<'static, RemoveOutcome> {
        self.count_call();
        Box::pin(ready(self.state.borrow_mut().remove(key, expected)))
    }

    fn watch(
        &self,
        key: &ObjectKey,
        after: ObjectVersion,
        deadline: ClockTime,
    ) -> LocalBoxFuture<'static, WatchOutcome> {
        self.count_call();
        let fault = self.state.borrow_mut().watch_faults.next();
        Box::pin(WatchCall {
            state: self.state.clone(),
            clock: self.clock.clone(),
            key: key.clone(),
            after,
            deadline,
            fault,
        })
    }
}
