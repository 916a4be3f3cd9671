//! Interface of the platform's object store.
//!
//! [`ObjectStore`] is the only persistent storage and the only means of
//! coordination between nodes. Every call returns an outcome. An update may
//! return [`UpdateOutcome::Unknown`]; the object then has to be read back to find
//! out whether the update took effect.

pub mod contract;
mod memory;
mod object;
mod outcome;

pub use memory::{MemoryStore, ReadFault, UpdateFault, WatchFault};
pub use object::{MAX_VALUE_BYTES, ObjectChange, ObjectKey, StoredObject};
pub use outcome::{ListOutcome, ReadOutcome, RemoveOutcome, UpdateOutcome, WatchOutcome};

use base::prelude::*;
use futures_util::future::LocalBoxFuture;

/// Versioned objects with conditional updates and watches.
pub trait ObjectStore {
    /// Reads one object.
    fn read(&self, key: &ObjectKey) -> LocalBoxFuture<'static, ReadOutcome>;

    /// Version of an object that does not exist; later ones prevail over it. Its era is that of
    /// the store if the store counts its restores from a copy.
    fn absent_version(&self) -> ObjectVersion {
        ObjectVersion::default()
    }

    /// Reads every object whose key starts with `prefix`.
    fn list(&self, prefix: &str) -> LocalBoxFuture<'static, ListOutcome>;

    /// Writes one object if it still has the expected version.
    fn update(&self, change: ObjectChange) -> LocalBoxFuture<'static, UpdateOutcome>;

    /// Removes one object if it still has the expected version.
    fn remove(
        &self,
        key: &ObjectKey,
        expected: ObjectVersion,
    ) -> LocalBoxFuture<'static, RemoveOutcome>;

    /// Waits until the object is newer than `after` or the deadline passes.
    ///
    /// A watch that times out returns no object, so waiting transfers few bytes
    /// however large the object is.
    fn watch(
        &self,
        key: &ObjectKey,
        after: ObjectVersion,
        deadline: ClockTime,
    ) -> LocalBoxFuture<'static, WatchOutcome>;
}
