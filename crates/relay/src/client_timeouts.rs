//! Estimate of how long a client has already waited for a request.
//!
//! A request carries the time left until its client's deadline. If many clients of
//! a route use the same timeout, a request with less time left is a retry, and the
//! difference is the time that its client has already waited.

use base::prelude::*;

/// Difference up to which two timeouts count as equal; a client's first attempt may
/// spend that long on its connection.
const TOLERANCE: Duration = Duration::from_millis(100);
/// Decay of the counts per request; about the last hundred requests count.
const DECAY: f64 = 0.99;
/// Share of the requests that must have the longest timeout for it to count as the
/// usual one; low, since right after an outage most requests are retries.
const MIN_LONGEST_SHARE: f64 = 0.1;

/// Client timeouts of one route.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ClientTimeouts {
    longest: Duration,
    /// Decayed numbers of requests with the longest timeout and of all requests.
    with_longest: f64,
    all: f64,
}

impl ClientTimeouts {
    /// Records the time that a request has left; returns the estimated time that its client has
    /// already waited, zero if there is no usual timeout.
    pub fn record(&mut self, timeout: Duration) -> Duration {
        if timeout > self.longest + TOLERANCE {
            *self = Self {
                longest: timeout,
                ..Self::default()
            };
        }
        let has_longest = timeout + TOLERANCE >= self.longest;
        self.all = self.all * DECAY + 1.0;
        self.with_longest = self.with_longest * DECAY + f64::from(u8::from(has_longest));
        if has_longest || self.with_longest < self.all * MIN_LONGEST_SHARE {
            return Duration::ZERO;
        }
        self.longest - timeout
    }
}
