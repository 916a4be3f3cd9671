//! The platform's object store as the system sees it.
//!
//! [`ObjectStore`] is the only way to agree on or keep anything. Every call
//! ends in an outcome value; in particular an update may end
//! [`UpdateOutcome::Unknown`], and only reading the object back tells whether it
//! took effect.

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

    /// Reads every object whose key begins with a prefix.
    fn list(&self, prefix: &str) -> LocalBoxFuture<'static, ListOutcome>;

    /// Writes one object if its version is still the expected one.
    fn update(&self, change: ObjectChange) -> LocalBoxFuture<'static, UpdateOutcome>;

    /// Removes one object if its version is still the expected one.
    fn remove(
        &self,
        key: &ObjectKey,
        expected: ObjectVersion,
    ) -> LocalBoxFuture<'static, RemoveOutcome>;

    /// Waits until the object is newer than a version or the deadline passes.
    ///
    /// A watch that times out answers without the object, so that waiting costs
    /// few bytes however large the object is.
    fn watch(
        &self,
        key: &ObjectKey,
        after: ObjectVersion,
        deadline: ClockTime,
    ) -> LocalBoxFuture<'static, WatchOutcome>;
}
