//! Monotonic system clock.

use base::prelude::*;
use rustix::time::{ClockId, Timespec, clock_gettime};

/// Reading of a clock when it is created, so that instants before it can be represented: those
/// of events that other nodes report.
const INITIAL_READING: Duration = Duration::from_secs(3_600);

/// Monotonic clock that starts when it is created and includes time in which the
/// machine was suspended.
///
/// Leases and reports expire while a machine is suspended, so that time must count.
#[derive(Debug)]
pub struct SystemClock(Duration);

impl Default for SystemClock {
    fn default() -> Self {
        Self(read_clock())
    }
}

impl ClockSource for SystemClock {
    fn now(&self) -> ClockTime {
        ClockTime(0) + INITIAL_READING + read_clock().saturating_sub(self.0)
    }
}

fn read_clock() -> Duration {
    let Timespec { tv_sec, tv_nsec } = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(tv_sec).unwrap_or(0);
    let nanos = u32::try_from(tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanos)
}
