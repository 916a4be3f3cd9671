//! Monotonic time as a value.

use std::cell::Cell;
use std::ops::Add;
use std::time::Duration;

/// Monotonic instant in microseconds since the process's clock began.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClockTime(pub u64);

impl ClockTime {
    /// Instant so many milliseconds after the clock began.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Time passed since an earlier instant; zero if that one is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for ClockTime {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}

/// Source of monotonic time.
pub trait ClockSource {
    /// Present instant.
    fn now(&self) -> ClockTime;
}

/// Clock that moves only when told to.
#[derive(Debug, Default)]
pub struct ManualClock(Cell<ClockTime>);

impl ManualClock {
    /// Moves the clock forward.
    pub fn advance(&self, span: Duration) {
        self.0.set(self.0.get() + span);
    }
}

impl ClockSource for ManualClock {
    fn now(&self) -> ClockTime {
        self.0.get()
    }
}
