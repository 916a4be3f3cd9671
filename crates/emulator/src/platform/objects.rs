//! Objects with versions, conditional updates and watches.

use std::collections::BTreeMap;

use base::prelude::*;
use futures_channel::oneshot;
use store::{MAX_VALUE_BYTES, ObjectChange, ObjectKey, StoredObject, UpdateOutcome};

/// Objects and the watches that wait for their next changes.
#[derive(Debug, Default)]
pub struct ObjectTable {
    objects: BTreeMap<ObjectKey, StoredObject>,
    watches: BTreeMap<ObjectKey, Vec<oneshot::Sender<()>>>,
    last_version: ObjectVersion,
    /// Number of restores from a copy.
    era: u64,
}

/// Copy of the objects, from which they can be restored.
#[derive(Clone, Debug)]
pub struct ObjectCopy {
    objects: BTreeMap<ObjectKey, StoredObject>,
    last_version: ObjectVersion,
}

impl ObjectTable {
    /// Returns an object, or `None` if there is none with this key.
    pub fn get(&self, key: &ObjectKey) -> Option<&StoredObject> {
        self.objects.get(key)
    }

    /// Returns the objects whose keys begin with a prefix.
    pub fn list(&self, prefix: &str) -> Vec<StoredObject> {
        self.objects
            .values()
            .filter(|object| object.key.as_str().starts_with(prefix))
            .cloned()
            .collect()
    }

    /// Applies an update if the object is at the expected version; zero means that it is new.
    pub fn update(&mut self, change: ObjectChange) -> UpdateOutcome {
        if change.value.len() > MAX_VALUE_BYTES {
            return UpdateOutcome::TooLarge;
        }
        if self.version_of(&change.key) != change.expected {
            return UpdateOutcome::Conflict;
        }
        self.last_version = self.last_version.next();
        let object = StoredObject {
            key: change.key.clone(),
            version: self.last_version,
            value: change.value,
        };
        self.objects.insert(change.key.clone(), object);
        self.notify_watchers(&change.key);
        UpdateOutcome::Applied(self.last_version)
    }

    /// Removes an object if it is at the expected version; returns whether it did.
    pub fn remove(&mut self, key: &ObjectKey, expected: ObjectVersion) -> bool {
        let matches = self.objects.contains_key(key) && self.version_of(key) == expected;
        if matches {
            self.objects.remove(key);
            self.notify_watchers(key);
        }
        matches
    }

    /// Copies all objects.
    pub fn copy(&self) -> ObjectCopy {
        ObjectCopy {
            objects: self.objects.clone(),
            last_version: self.last_version,
        }
    }

    /// Restores a copy: what was written since is gone, and versions are given out again.
    pub fn restore(&mut self, copy: ObjectCopy) {
        let watched: Vec<_> = self.watches.keys().cloned().collect();
        self.objects = copy.objects;
        self.last_version = copy.last_version;
        self.era += 1;
        for key in watched {
            self.notify_watchers(&key);
        }
    }

    /// Number of restores from a copy.
    pub fn era(&self) -> u64 {
        self.era
    }

    /// Returns a receiver that completes at the object's next change.
    pub fn watch(&mut self, key: &ObjectKey) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        let watches = self.watches.entry(key.clone()).or_default();
        watches.retain(|watch| !watch.is_canceled());
        watches.push(sender);
        receiver
    }

    /// Version of an object; zero if it does not exist.
    pub fn version_of(&self, key: &ObjectKey) -> ObjectVersion {
        self.get(key)
            .map_or(ObjectVersion(0), |object| object.version)
    }

    fn notify_watchers(&mut self, key: &ObjectKey) {
        for watch in self.watches.remove(key).unwrap_or_default() {
            // Fails if the watcher has dropped its receiver.
            let _ = watch.send(());
        }
    }
}
