//! Timer for a recurring action.

use crate::ClockTime;

/// Instant at which a recurring action is next due; unset while the action is in progress.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DueTimer(Option<ClockTime>);

impl DueTimer {
    /// Creates a timer that is due at an instant.
    pub fn at(due: ClockTime) -> Self {
        Self(Some(due))
    }

    /// Instant at which the action is due; `None` while it is in progress.
    pub fn due(&self) -> Option<ClockTime> {
        self.0
    }

    /// Returns whether the action is due and, if so, unsets the timer.
    pub fn take_due(&mut self, now: ClockTime) -> bool {
        let is_due = self.0.is_some_and(|due| due <= now);
        if is_due {
            self.0 = None;
        }
        is_due
    }

    /// Schedules the action for an instant.
    pub fn set(&mut self, due: ClockTime) {
        self.0 = Some(due);
    }
}
