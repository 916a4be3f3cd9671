//! Faults that strike single calls to a [`super::MemoryStore`].

use std::collections::VecDeque;

use base::prelude::*;

/// Fault that strikes one update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateFault {
    /// The update takes effect but its reply is lost.
    ReplyLost,
    /// The update is lost on its way, and so is the reply.
    RequestLost,
    /// Another writer got there first.
    Conflict,
    /// The update is never sent.
    Unavailable,
    /// The reply is lost, and the update arrives only after this time.
    ArrivesLate(Duration),
    /// The update and its reply take this long.
    Slow(Duration),
}

/// Fault that strikes one read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadFault {
    /// The store gives no answer.
    Unavailable,
    /// The version before the present one is read.
    Stale,
    /// The answer takes this long.
    Slow(Duration),
}

/// Fault that strikes one watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchFault {
    /// The store gives no answer.
    Unavailable,
    /// The next update passes unnoticed; the one after it ends the watch.
    MissesUpdate,
    /// Nothing is heard any more, not even at the deadline.
    Silent,
}

/// Faults of the next calls of one kind, one entry each.
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
