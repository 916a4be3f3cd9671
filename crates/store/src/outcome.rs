//! How calls to the store end.

use base::prelude::*;

use crate::StoredObject;

/// End of a read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// The object as it stands.
    Found(StoredObject),
    /// No such object.
    Missing,
    /// The store gave no answer.
    Unavailable,
}

/// End of a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchOutcome {
    /// The object with another version than the one watched from.
    Changed(StoredObject),
    /// The deadline passed and the object still has that version.
    Unchanged,
    /// No such object.
    Missing,
    /// The store gave no answer.
    Unavailable,
}

/// End of a list call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ListOutcome {
    /// Objects in the order of their keys.
    Found(Vec<StoredObject>),
    /// The store gave no answer.
    Unavailable,
}

/// End of a conditional update.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UpdateOutcome {
    /// The update took effect and made this version.
    Applied(ObjectVersion),
    /// The object had another version, so nothing was written.
    Conflict,
    /// The value is too large, so nothing was written.
    TooLarge,
    /// The update was never sent, so nothing was written.
    Unavailable,
    /// The update was sent but not answered: read the object back.
    Unknown,
}

/// End of a conditional removal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RemoveOutcome {
    /// The object is gone.
    Removed,
    /// The object had another version or was missing.
    Conflict,
    /// The removal was never sent.
    Unavailable,
    /// The removal was sent but not answered.
    Unknown,
}
