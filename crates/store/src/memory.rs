//! In-memory store for tests, demos and measurements, with faults on demand.

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

use base::prelude::*;
use futures_util::future::{LocalBoxFuture, ready};

use crate::{
    ListOutcome, ObjectChange, ObjectKey, ObjectStore, ReadOutcome, RemoveOutcome, StoredObject,
    UpdateOutcome, VALUE_LIMIT,
};

/// Fault that strikes one update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateFault {
    /// The update takes effect but its reply is lost.
    ReplyLost,
    /// The update is lost on its way, and so is the reply.
    RequestLost,
    /// Another writer got there first.
    Conflict,
}

#[derive(Default)]
struct MemoryState {
    objects: BTreeMap<ObjectKey, StoredObject>,
    last_version: ObjectVersion,
    down: bool,
    faults: VecDeque<Option<UpdateFault>>,
    calls: u64,
}

/// Store in this process's memory; clones share their objects.
#[derive(Clone, Default)]
pub struct MemoryStore(Rc<RefCell<MemoryState>>);

impl MemoryStore {
    /// Starts or ends an outage.
    pub fn set_down(&self, down: bool) {
        self.0.borrow_mut().down = down;
    }

    /// Queues faults for the next updates, one entry each.
    pub fn plan_faults(&self, faults: impl IntoIterator<Item = Option<UpdateFault>>) {
        self.0.borrow_mut().faults.extend(faults);
    }

    /// Calls received so far.
    pub fn calls(&self) -> u64 {
        self.0.borrow().calls
    }
}

impl MemoryState {
    fn version_of(&self, key: &ObjectKey) -> ObjectVersion {
        self.objects
            .get(key)
            .map_or(ObjectVersion(0), |object| object.version)
    }

    fn apply(&mut self, change: ObjectChange) -> UpdateOutcome {
        if change.value.len() > VALUE_LIMIT {
            return UpdateOutcome::TooLarge;
        }
        if self.version_of(&change.key) != change.expected {
            return UpdateOutcome::Conflict;
        }
        let version = self.last_version.next();
        self.last_version = version;
        let object = StoredObject {
            key: change.key.clone(),
            version,
            value: change.value,
        };
        self.objects.insert(change.key, object);
        UpdateOutcome::Applied(version)
    }

    fn update(&mut self, change: ObjectChange) -> UpdateOutcome {
        self.calls += 1;
        if self.down {
            return UpdateOutcome::Unavailable;
        }
        match self.faults.pop_front().flatten() {
            None => self.apply(change),
            Some(UpdateFault::RequestLost) => UpdateOutcome::Unknown,
            Some(UpdateFault::Conflict) => UpdateOutcome::Conflict,
            Some(UpdateFault::ReplyLost) => {
                self.apply(change);
                UpdateOutcome::Unknown
            }
        }
    }

    fn read(&mut self, key: &ObjectKey) -> ReadOutcome {
        self.calls += 1;
        if self.down {
            return ReadOutcome::Unavailable;
        }
        match self.objects.get(key) {
            Some(object) => ReadOutcome::Found(object.clone()),
            None => ReadOutcome::Missing,
        }
    }

    fn list(&mut self, prefix: &str) -> ListOutcome {
        self.calls += 1;
        if self.down {
            return ListOutcome::Unavailable;
        }
        let matching = |object: &&StoredObject| object.key.as_str().starts_with(prefix);
        ListOutcome::Found(self.objects.values().filter(matching).cloned().collect())
    }

    fn remove(&mut self, key: &ObjectKey, expected: ObjectVersion) -> RemoveOutcome {
        self.calls += 1;
        if self.down {
            return RemoveOutcome::Unavailable;
        }
        if self.version_of(key) != expected || expected == ObjectVersion(0) {
            return RemoveOutcome::Conflict;
        }
        self.objects.remove(key);
        RemoveOutcome::Removed
    }
}

impl ObjectStore for MemoryStore {
    fn read(&self, key: &ObjectKey) -> LocalBoxFuture<'static, ReadOutcome> {
        Box::pin(ready(self.0.borrow_mut().read(key)))
    }

    fn list(&self, prefix: &str) -> LocalBoxFuture<'static, ListOutcome> {
        Box::pin(ready(self.0.borrow_mut().list(prefix)))
    }

    fn update(&self, change: ObjectChange) -> LocalBoxFuture<'static, UpdateOutcome> {
        Box::pin(ready(self.0.borrow_mut().update(change)))
    }

    fn remove(
        &self,
        key: &ObjectKey,
        expected: ObjectVersion,
    ) -> LocalBoxFuture<'static, RemoveOutcome> {
        Box::pin(ready(self.0.borrow_mut().remove(key, expected)))
    }

    fn watch(
        &self,
        key: &ObjectKey,
        _after: ObjectVersion,
        _deadline: ClockTime,
    ) -> LocalBoxFuture<'static, ReadOutcome> {
        Box::pin(ready(self.0.borrow_mut().read(key)))
    }
}
