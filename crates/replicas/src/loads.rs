//! Rate limit for loads from the shared weight store.

use std::collections::VecDeque;

use base::prelude::*;

/// Window over which load starts are counted.
const RATE_WINDOW: Duration = Duration::from_secs(1);
/// Fraction of the allowed rate that is used; orders that are executed late may start loads
/// that are not counted.
pub(crate) const RATE_FRACTION: f64 = 0.6;

/// Limits on loads.
#[derive(Clone, Copy, Debug)]
pub struct LoadLimits {
    /// Starts per second; `None` for no limit.
    pub max_starts_per_second: Option<f64>,
    /// Concurrent loads.
    pub max_concurrent: usize,
}

/// Loads that were ordered, with their expected ends.
#[derive(Clone, Debug, Default)]
pub struct LoadTracker {
    starts: VecDeque<ClockTime>,
    ends: Vec<(HostName, ClockTime)>,
}

impl LoadTracker {
    /// Whether another load may start.
    pub fn allows(&mut self, now: ClockTime, limits: LoadLimits) -> bool {
        while self
            .starts
            .front()
            .is_some_and(|&start| start + RATE_WINDOW <= now)
        {
            self.starts.pop_front();
        }
        self.ends.retain(|(_, end)| *end > now);
        let started = self.starts.len() as f64;
        let is_within_rate = limits
            .max_starts_per_second
            .is_none_or(|rate| started < (rate * RATE_FRACTION).max(1.0));
        is_within_rate && self.ends.len() < limits.max_concurrent
    }

    /// Records a load that was ordered and is expected to end at `end`.
    pub fn start(&mut self, id: HostName, now: ClockTime, end: ClockTime) {
        self.starts.push_back(now);
        self.ends.retain(|(loading, _)| *loading != id);
        self.ends.push((id, end));
    }

    /// Removes the load of an endpoint that has finished it or was removed.
    pub fn finish(&mut self, id: &HostName) {
        self.ends.retain(|(loading, _)| loading != id);
    }

    /// Whether an endpoint is loading.
    pub fn is_loading(&self, id: &HostName, now: ClockTime) -> bool {
        self.ends
            .iter()
            .any(|(loading, end)| loading == id && *end > now)
    }
}
