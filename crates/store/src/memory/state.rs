//! Objects of a [`super::MemoryStore`] and the rules of changing them.

use std::collections::BTreeMap;
use std::task::Waker;

use base::prelude::*;

use super::fault::{FaultQueue, ReadFault, UpdateFault, WatchFault};
use crate::{
    ListOutcome, MAX_VALUE_BYTES, ObjectChange, ObjectKey, ReadOutcome, RemoveOutcome,
    StoredObject, UpdateOutcome,
};

#[derive(Default)]
pub(super) struct MemoryState {
    pub objects: BTreeMap<ObjectKey, StoredObject>,
    /// What each object was before its last update, if it existed.
    pub previous: BTreeMap<ObjectKey, StoredObject>,
    /// Updates that are still on their way, with their arrival.
    pub late: Vec<(ClockTime, ObjectChange)>,
    pub last_version: ObjectVersion,
    pub down: bool,
    pub update_faults: FaultQueue<UpdateFault>,
    pub read_faults: FaultQueue<ReadFault>,
    pub watch_faults: FaultQueue<WatchFault>,
    pub calls: u64,
    pub wakers: Vec<Waker>,
}

impl MemoryState {
    pub fn version_of(&self, key: &ObjectKey) -> ObjectVersion {
        let object = self.objects.get(key);
        object.map_or(ObjectVersion::default(), |object| object.version)
    }

    pub fn find(&self, key: &ObjectKey) -> ReadOutcome {
        match self.objects.get(key) {
            _ if self.down => ReadOutcome::Unavailable,
            Some(object) => ReadOutcome::Found(object.clone()),
            None => ReadOutcome::Missing,
        }
    }

    pub fn find_previous(&self, key: &ObjectKey) -> ReadOutcome {
        match self.previous.get(key) {
            _ if self.down => ReadOutcome::Unavailable,
            Some(object) => ReadOutcome::Found(object.clone()),
            None => ReadOutcome::Missing,
        }
    }

    pub fn list(&self, prefix: &str) -> ListOutcome {
        if self.down {
            return ListOutcome::Unavailable;
        }
        let matching = |object: &&StoredObject| object.key.as_str().starts_with(prefix);
        ListOutcome::Found(self.objects.values().filter(matching).cloned().collect())
    }

    pub fn apply(&mut self, change: ObjectChange) -> UpdateOutcome {
        if self.down {
            return UpdateOutcome::Unavailable;
        }
        if change.value.len() > MAX_VALUE_BYTES {
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
        if let Some(previous) = self.objects.insert(change.key.clone(), object) {
            self.previous.insert(change.key, previous);
        }
        self.wake_all();
        UpdateOutcome::Applied(version)
    }

    pub fn remove(&mut self, key: &ObjectKey, expected: ObjectVersion) -> RemoveOutcome {
        if self.down {
            return RemoveOutcome::Unavailable;
        }
        if self.version_of(key) != expected || expected == ObjectVersion::default() {
            return RemoveOutcome::Conflict;
        }
        if let Some(previous) = self.objects.remove(key) {
            self.previous.insert(key.clone(), previous);
        }
        self.wake_all();
        RemoveOutcome::Removed
    }

    /// Applies the late updates that have arrived.
    pub fn deliver_late(&mut self, now: ClockTime) {
        let (arrived, late) = self.late.drain(..).partition(|(due, _)| *due <= now);
        self.late = late;
        let arrived: Vec<(ClockTime, ObjectChange)> = arrived;
        for (_, change) in arrived {
            self.apply(change);
        }
    }

    pub fn wake_all(&mut self) {
        for waker in self.wakers.drain(..) {
            waker.wake();
        }
    }
}
