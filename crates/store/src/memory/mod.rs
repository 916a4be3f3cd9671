//! In-memory store with fault injection for tests, demos and benchmarks.
//!
//! Its clock moves only through [`MemoryStore::advance`], so tests control when
//! slow calls, delayed updates and watches complete.

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
use call::{DelayedCall, WatchCall};
use state::MemoryState;

pub use fault::{ReadFault, UpdateFault, WatchFault};

/// In-memory store; clones share their objects.
#[derive(Clone, Default)]
pub struct MemoryStore {
    state: Rc<RefCell<MemoryState>>,
    clock: Rc<ManualClock>,
}

impl MemoryStore {
    /// Starts or ends an outage, in which every call fails.
    pub fn set_down(&self, is_down: bool) {
        let mut state = self.state.borrow_mut();
        state.is_down = is_down;
        state.wake_all();
    }

    /// Advances the store's clock, which applies delayed updates and completes slow
    /// calls and expired watches.
    pub fn advance(&self, duration: Duration) {
        self.clock.advance(duration);
        let mut state = self.state.borrow_mut();
        state.apply_delayed(self.clock.now());
        state.wake_all();
    }

    /// Clock of the store.
    pub fn clock(&self) -> &ManualClock {
        &self.clock
    }

    /// Queues faults for the next updates, one entry for each call.
    pub fn inject_update_faults(&self, faults: impl IntoIterator<Item = Option<UpdateFault>>) {
        self.state.borrow_mut().update_faults.extend(faults);
    }

    /// Queues faults for the next reads, one entry for each call.
    pub fn inject_read_faults(&self, faults: impl IntoIterator<Item = Option<ReadFault>>) {
        self.state.borrow_mut().read_faults.extend(faults);
    }

    /// Queues faults for the next watches, one entry for each call.
    pub fn inject_watch_faults(&self, faults: impl IntoIterator<Item = Option<WatchFault>>) {
        self.state.borrow_mut().watch_faults.extend(faults);
    }

    /// Restores the object and the version from before its last update, as
    /// restoring a backup would.
    pub fn restore_previous(&self, key: &ObjectKey) {
        let mut state = self.state.borrow_mut();
        match state.previous.get(key).cloned() {
            Some(object) => state.objects.insert(key.clone(), object),
            None => state.objects.remove(key),
        };
        state.wake_all();
    }

    /// Number of calls received so far; a watch counts as one.
    pub fn calls(&self) -> u64 {
        self.state.borrow().calls
    }

    fn count_call(&self) {
        self.state.borrow_mut().calls += 1;
    }

    fn delayed_call<T: 'static>(
        &self,
        delay: Duration,
        operation: impl Fn(&mut MemoryState) -> T + 'static,
    ) -> LocalBoxFuture<'static, T> {
        Box::pin(DelayedCall {
            state: self.state.clone(),
            clock: self.clock.clone(),
            due: self.clock.now() + delay,
            operation: Box::new(operation),
        })
    }

    fn update_now(&self, change: ObjectChange, fault: Option<UpdateFault>) -> UpdateOutcome {
        let mut state = self.state.borrow_mut();
        match fault {
            _ if state.is_down => UpdateOutcome::Unavailable,
            None | Some(UpdateFault::Slow(_)) => state.apply(change),
            Some(UpdateFault::Unavailable) => UpdateOutcome::Unavailable,
            Some(UpdateFault::RequestLost) => UpdateOutcome::Unknown,
            Some(UpdateFault::Conflict) => UpdateOutcome::Conflict,
            Some(UpdateFault::ReplyLost) => {
                state.apply(change);
                UpdateOutcome::Unknown
            }
            Some(UpdateFault::ArrivesLate(delay)) => {
                let due = self.clock.now() + delay;
                state.delayed_updates.push((due, change));
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
            Some(ReadFault::Slow(delay)) => self.delayed_call(delay, move |state| state.find(&key)),
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
        if let Some(UpdateFault::Slow(delay)) = fault {
            return self.delayed_call(delay, move |state| state.apply(change.clone()));
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
