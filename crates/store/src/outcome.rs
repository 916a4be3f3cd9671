//! Outcomes of calls to the store.

use base::prelude::*;

use crate::StoredObject;

/// Outcome of a read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// The current object.
    Found(StoredObject),
    /// The object does not exist.
    Missing,
    /// The store did not respond.
    Unavailable,
}

/// Outcome of a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchOutcome {
    /// The object, whose version differs from the watched one.
    Changed(StoredObject),
    /// The deadline passed, and the object still has the watched version.
    Unchanged,
    /// The object does not exist.
    Missing,
    /// The store did not respond.
    Unavailable,
}

/// Outcome of a list call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ListOutcome {
    /// Objects sorted by key.
    Found(Vec<StoredObject>),
    /// The store did not respond.
    Unavailable,
}

/// Outcome of a conditional update.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UpdateOutcome {
    /// The update took effect and created this version.
    Applied(ObjectVersion),
    /// The object had another version, so nothing was written.
    Conflict,
    /// The value exceeds the maximum size, so nothing was written.
    TooLarge,
    /// The update was never sent, so nothing was written.
    Unavailable,
    /// The update was sent, but no response arrived; the object has to be read back.
    Unknown,
}

/// Outcome of a conditional removal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RemoveOutcome {
    /// The object was removed.
    Removed,
    /// The object had another version or did not exist.
    Conflict,
    /// The removal was never sent, so the object remains.
    Unavailable,
    /// The removal was sent, but no response arrived.
    Unknown,
}
