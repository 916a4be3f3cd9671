//! Turns to send requests to a limited server.

use base::prelude::*;

/// Time for which an unused turn is kept.
const TURN_VALIDITY: Duration = Duration::from_secs(1);

/// Age from which an unused turn is not kept for more urgent requests any longer.
const SPARE_AGE: Duration = Duration::from_millis(500);

/// Turns of one node to send to one server, earned at a rate that may change.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SendAllowance {
    /// Turns earned up to `updated_at`; the fraction is the progress towards the next one.
    earned: f64,
    /// Turns that were used or have expired, as a number of earned ones.
    spent: f64,
    updated_at: ClockTime,
}

impl SendAllowance {
    /// Allowance without a turn; the first one is earned after `1 - progress` of the interval
    /// between two turns.
    pub fn new(progress: f64, now: ClockTime) -> Self {
        Self {
            earned: progress.clamp(0.0, 0.999),
            spent: 0.0,
            updated_at: now,
        }
    }

    /// Adds what was earned since the last update at a number of turns a second.
    pub fn advance(&mut self, per_second: f64, now: ClockTime) {
        self.earned += per_second * now.since(self.updated_at).as_secs_f64();
        self.updated_at = now;
        let expired = self.earned - per_second * TURN_VALIDITY.as_secs_f64();
        self.spent = self.spent.max(expired.floor());
    }

    /// Whether there is a turn at an instant, at a number of turns a second.
    pub fn has_turn(&self, per_second: f64, now: ClockTime) -> bool {
        let mut present = *self;
        present.advance(per_second, now);
        present.earned - present.spent >= 1.0
    }

    /// Whether there is a turn that was earned some time ago and is still unused.
    pub fn has_spare_turn(&self, per_second: f64, now: ClockTime) -> bool {
        let mut present = *self;
        present.advance(per_second, now);
        let recent = per_second * SPARE_AGE.as_secs_f64();
        (present.earned - recent).floor() - present.spent >= 1.0
    }

    /// Uses a turn.
    pub fn take_turn(&mut self) {
        self.spent += 1.0;
    }
}
