//! Estimate of how long a client has already waited for a request.
//!
//! A request carries the time left until its client's deadline. If the clients of a
//! route use about the same timeout, a request with less time left is a retry, and the
//! difference is the time that its client has already waited. Timeouts may vary from
//! client to client: they form a range from the longest one down, within which they are
//! about equally frequent, and only less than the shortest of them shows a retry.

use base::prelude::*;

/// Difference up to which two timeouts count as equal; a client's first attempt may
/// spend that long on its connection.
const TOLERANCE: Duration = Duration::from_millis(100);
/// Decay of the counts per request; about the last hundred requests count.
const DECAY: f64 = 0.99;
/// Decayed number of requests that are counted even while refused clients come back.
const MIN_COUNTED: f64 = 30.0;
/// Share of the requests that must have a usual timeout; low, since right after an outage
/// most requests are retries.
const MIN_USUAL_SHARE: f64 = 0.1;
/// Number of counts, each of which covers the tolerance; a range of timeouts is at most that
/// wide.
const STEP_COUNT: usize = 30;
/// Number of neighbouring counts that are compared at a time, as single ones vary by chance.
const WINDOW_LENGTH: usize = 3;
/// Share of the mean frequency in the range so far with which a window still belongs to it;
/// retries are less frequent than first attempts.
const MIN_WINDOW_FREQUENCY: f64 = 0.6;
/// The same for a single count within a window.
const MIN_STEP_FREQUENCY: f64 = 0.3;

/// Client timeouts of one route.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ClientTimeouts {
    longest: Duration,
    /// Decayed numbers of requests by the difference of their timeout to the longest one.
    counts: [f64; STEP_COUNT],
    /// Decayed number of all requests.
    all: f64,
}

impl ClientTimeouts {
    /// Records the time that a request has left; returns the estimated time that its client has
    /// already waited, zero if there is no usual timeout.
    ///
    /// Clients that were refused come back until their deadlines, all of them together with any
    /// time left about equally often. Counted, they would make the range of usual timeouts so
    /// wide that none of them is found to be late, so requests are not counted for the longest
    /// timeout after `refused_at`, the latest refusal for want of a slot.
    pub fn record(
        &mut self,
        timeout: Duration,
        refused_at: Option<ClockTime>,
        now: ClockTime,
    ) -> Duration {
        if timeout > self.longest + TOLERANCE {
            *self = Self {
                longest: timeout,
                ..Self::default()
            };
        }
        let shortfall = self.longest.saturating_sub(timeout);
        let step = (shortfall.as_millis() / TOLERANCE.as_millis()) as usize;
        let has_returns = refused_at.is_some_and(|at| now < at + self.longest);
        if !has_returns || self.all < MIN_COUNTED {
            self.count(step);
        }
        let last_usual_step = self.last_usual_step();
        let usual: f64 = self.counts[..=last_usual_step].iter().sum();
        if step <= last_usual_step || usual < self.all * MIN_USUAL_SHARE {
            return Duration::ZERO;
        }
        let usual_shortfall = TOLERANCE * u32::try_from(last_usual_step).unwrap_or(u32::MAX);
        shortfall.saturating_sub(usual_shortfall)
    }

    fn count(&mut self, step: usize) {
        for count in &mut self.counts {
            *count *= DECAY;
        }
        self.all = self.all * DECAY + 1.0;
        if let Some(count) = self.counts.get_mut(step) {
            *count += 1.0;
        }
    }

    /// Last of the steps that belong to the range of usual timeouts.
    fn last_usual_step(&self) -> usize {
        let (mut last_step, mut sum, mut length) = (0, 0.0, 0.0);
        for (index, window) in self.counts.chunks(WINDOW_LENGTH).enumerate() {
            let window_sum: f64 = window.iter().sum();
            let mean = sum / f64::max(length, 1.0);
            let window_mean = window_sum / WINDOW_LENGTH as f64;
            if index > 0 && window_mean < mean * MIN_WINDOW_FREQUENCY {
                break;
            }
            sum += window_sum;
            length += WINDOW_LENGTH as f64;
            let is_frequent = |count: &f64| *count >= window_mean * MIN_STEP_FREQUENCY;
            if let Some(step) = window.iter().rposition(is_frequent) {
                last_step = index * WINDOW_LENGTH + step;
            }
        }
        last_step
    }
}
