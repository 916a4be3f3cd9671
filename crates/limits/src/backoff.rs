//! Delays between the attempts of one call, with decorrelated jitter.
//!
//! Each delay is drawn between the shortest delay and a multiple of the previous
//! one, so that calls that failed at the same time are not retried at the same
//! time.

use base::prelude::*;
use rand::RngExt;

use crate::BackoffSettings;

/// Delays between the attempts of one call.
#[derive(Clone, Debug)]
pub struct RetryBackoff {
    settings: BackoffSettings,
    deadline: ClockTime,
    planned: Option<PlannedAttempt>,
}

#[derive(Clone, Copy, Debug)]
struct PlannedAttempt {
    planned_at: ClockTime,
    due: ClockTime,
}

impl RetryBackoff {
    /// Backoff of a call that must end before the deadline.
    pub fn new(settings: BackoffSettings, deadline: ClockTime) -> Self {
        Self {
            settings,
            deadline,
            planned: None,
        }
    }

    /// Instant of the next attempt; `None` if it would not be before the deadline.
    pub fn next_attempt(&mut self, rng: &mut impl RngExt, now: ClockTime) -> Option<ClockTime> {
        let min = self.settings.delay_min;
        let last_delay = self
            .planned
            .map_or(min, |plan| plan.due.since(plan.planned_at));
        let max =
            (last_delay * self.settings.growth_factor).clamp(min, self.settings.delay_max.max(min));
        let due = now + rng.random_range(min..=max);
        self.planned = Some(PlannedAttempt {
            planned_at: now,
            due,
        });
        (due < self.deadline).then_some(due)
    }
}
