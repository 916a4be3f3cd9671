//! The system's monotonic clock.

use std::time::Instant;

use base::prelude::*;

/// Monotonic clock of this process.
#[derive(Debug)]
pub struct SystemClock(Instant);

impl Default for SystemClock {
    fn default() -> Self {
        Self(Instant::now())
    }
}

impl SystemClock {
    /// System instant at which a clock time falls.
    pub fn instant_of(&self, time: ClockTime) -> Instant {
        self.0 + Duration::from_micros(time.0)
    }
}

impl ClockSource for SystemClock {
    fn now(&self) -> ClockTime {
        ClockTime(0) + self.0.elapsed()
    }
}
