//! Monotonic time as a value.

use std::cell::Cell;
use std::ops::Add;
use std::time::Duration;

/// Monotonic instant in microseconds since the start of the process's clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClockTime(pub u64);

impl ClockTime {
    /// Creates the instant a number of milliseconds after the start of the clock.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Duration since an earlier instant; zero if that instant is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Instant a duration earlier; at the earliest the start of the clock.
    pub fn before(self, duration: Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(micros))
    }
}

impl Add<Duration> for ClockTime {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}

/// Source of monotonic time.
pub trait ClockSource {
    /// Returns the current instant.
    fn now(&self) -> ClockTime;
}

/// Clock for tests that only moves when it is advanced.
#[derive(Debug, Default)]
pub struct ManualClock(Cell<ClockTime>);

impl ManualClock {
    /// Moves the clock forward.
    pub fn advance(&self, duration: Duration) {
        self.0.set(self.0.get() + duration);
    }
}

impl ClockSource for ManualClock {
    fn now(&self) -> ClockTime {
        self.0.get()
    }
}
