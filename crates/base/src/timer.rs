//! Instants at which something is done again.

use crate::ClockTime;

/// When something is next due; nothing is while it is under way.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DueTimer(Option<ClockTime>);

impl DueTimer {
    /// Timer that is due at an instant.
    pub fn at(due: ClockTime) -> Self {
        Self(Some(due))
    }

    /// Instant at which it is due.
    pub fn due(&self) -> Option<ClockTime> {
        self.0
    }

    /// Whether it is due; then it is under way until set again.
    pub fn take(&mut self, now: ClockTime) -> bool {
        let due = self.0.is_some_and(|at| at <= now);
        if due {
            self.0 = None;
        }
        due
    }

    /// Makes it due at an instant.
    pub fn set(&mut self, due: ClockTime) {
        self.0 = Some(due);
    }
}
