//! Faults that can be injected into single calls to a [`super::MemoryStore`].

use std::collections::VecDeque;

use base::prelude::*;

/// Fault of one update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateFault {
    /// The update takes effect, but its response is lost.
    ReplyLost,
    /// The update is lost before it reaches the store; there is no response.
    RequestLost,
    /// The update is rejected as if another writer had changed the object.
    Conflict,
    /// The update is never sent.
    Unavailable,
    /// The response is lost, and the update takes effect after this delay.
    ArrivesLate(Duration),
    /// The update takes effect and returns after this delay.
    Slow(Duration),
}

/// Fault of one read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadFault {
    /// The store does not respond.
    Unavailable,
    /// The previous version is returned.
    Stale,
    /// The call returns after this delay.
    Slow(Duration),
}

/// Fault of one watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchFault {
    /// The store does not respond.
    Unavailable,
    /// The next update is missed; the watch ends at the one after it.
    MissesUpdate,
    /// The watch never ends, not even at its deadline.
    Silent,
}

/// Faults of the next calls of one kind, one entry for each call.
#[derive(Debug)]
pub(super) struct FaultQueue<Fault>(VecDeque<Option<Fault>>);

impl<Fault> Default for FaultQueue<Fault> {
    fn default() -> Self {
        Self(VecDeque::new())
    }
}

impl<Fault> FaultQueue<Fault> {
    pub fn extend(&mut self, faults: impl IntoIterator<Item = Option<Fault>>) {
        self.0.extend(faults);
    }

    pub fn next(&mut self) -> Option<Fault> {
        self.0.pop_front().flatten()
    }
}
