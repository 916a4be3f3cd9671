//! Delays between the attempts of one call, with decorrelated jitter.
//!
//! Each delay is drawn between the shortest delay and a multiple of the one
//! before, so that calls which failed together don't come back together.

use base::prelude::*;
use rand::RngExt;

use crate::BackoffSettings;

/// Attempts of one call.
#[derive(Clone, Debug)]
pub struct RetryBackoff {
    settings: BackoffSettings,
    deadline: ClockTime,
    planned: Option<PlannedAttempt>,
}

#[derive(Clone, Copy, Debug)]
struct PlannedAttempt {
    decided: ClockTime,
    due: ClockTime,
}

impl RetryBackoff {
    /// Plan of a call that must end by a deadline.
    pub fn new(settings: BackoffSettings, deadline: ClockTime) -> Self {
        Self {
            settings,
            deadline,
            planned: None,
        }
    }

    /// Instant of the next attempt; none if it would come after the deadline.
    pub fn next_attempt(&mut self, rng: &mut impl RngExt, now: ClockTime) -> Option<ClockTime> {
        let min = self.settings.delay_min;
        let last = self
            .planned
            .map_or(min, |plan| plan.due.since(plan.decided));
        let max = (last * self.settings.growth).clamp(min, self.settings.delay_max.max(min));
        let due = now + rng.random_range(min..=max);
        self.planned = Some(PlannedAttempt { decided: now, due });
        (due < self.deadline).then_some(due)
    }
}
