//! How long clients usually wait, and how long one has waited already.
//!
//! A client that asks again says how much of its time is left. Where many
//! clients of a route wait equally long, what is missing has passed already.

use base::prelude::*;

/// Difference up to which two patiences count as equal; a client's first
/// attempt may wait that long for its connection.
const TOLERANCE: Duration = Duration::from_millis(100);
/// Part of what is known that is kept with each request; about the last hundred count.
const KEPT_PART: f64 = 0.99;
/// Part of the requests that must have the longest patience for it to count as
/// the usual one; right after an outage most requests are second attempts.
const USUAL_PART: f64 = 0.1;

/// How long the clients of one route wait.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RoutePatience {
    longest: Duration,
    /// Requests with the longest patience, and all; older ones count less.
    with_longest: f64,
    all: f64,
}

impl RoutePatience {
    /// Takes in a request's patience; returns the time that its client has waited already, as
    /// far as that can be told.
    pub fn note(&mut self, patience: Duration) -> Duration {
        if patience > self.longest + TOLERANCE {
            *self = Self {
                longest: patience,
                ..Self::default()
            };
        }
        let has_longest = patience + TOLERANCE >= self.longest;
        self.all = self.all * KEPT_PART + 1.0;
        self.with_longest = self.with_longest * KEPT_PART + f64::from(u8::from(has_longest));
        if has_longest || self.with_longest < self.all * USUAL_PART {
            return Duration::ZERO;
        }
        self.longest - patience
    }
}
