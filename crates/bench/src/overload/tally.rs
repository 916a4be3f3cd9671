//! Counters of one simulation.

use base::prelude::*;
use hdrhistogram::Histogram;

/// Counters of one simulation, from the end of its warm-up.
pub struct RunTally {
    warm_up_end: ClockTime,
    end: ClockTime,
    /// New calls, without retries by callers.
    pub offered: u64,
    /// Completed calls whose first token came within the target.
    pub good: u64,
    /// Refusals by nodes.
    pub refused: u64,
    /// Retries by nodes.
    pub node_retries: u64,
    /// Retries by callers.
    pub caller_retries: u64,
    /// Calls whose caller timed out and closed its connection.
    pub disconnected: u64,
    /// Calls that failed in every attempt of their caller.
    pub lost: u64,
    /// Calls started at endpoints, also during the warm-up.
    pub started: u64,
    /// Of those, calls whose prefix was cached.
    pub cached: u64,
    /// Largest number of calls at one endpoint, divided by its slots.
    pub peak: f64,
    /// First-token times in milliseconds, by workspace.
    pub first_tokens: Vec<Histogram<u64>>,
    /// Good first tokens in each second of the simulation.
    pub good_by_second: Vec<u64>,
}

impl RunTally {
    /// Creates counters at zero.
    pub fn new(warm_up_end: ClockTime, end: ClockTime, workspaces: usize) -> Self {
        let histogram = Histogram::new(3).expect("three significant digits are allowed");
        Self {
            warm_up_end,
            end,
            offered: 0,
            good: 0,
            refused: 0,
            node_retries: 0,
            caller_retries: 0,
            disconnected: 0,
            lost: 0,
            started: 0,
            cached: 0,
            peak: 0.0,
            first_tokens: vec![histogram; workspaces],
            good_by_second: vec![0; end.0.div_ceil(1_000_000) as usize + 1],
        }
    }

    /// Whether an instant lies in the counted period.
    pub fn is_counted(&self, now: ClockTime) -> bool {
        now >= self.warm_up_end && now < self.end
    }

    /// Length of the counted period in seconds.
    pub fn counted_seconds(&self) -> f64 {
        self.end.since(self.warm_up_end).as_secs_f64()
    }

    /// Records a first token and its time since the call's arrival.
    pub fn record_first_token(
        &mut self,
        workspace: usize,
        wait: Duration,
        is_good: bool,
        now: ClockTime,
    ) {
        if is_good {
            self.good_by_second[(now.0 / 1_000_000) as usize] += 1;
        }
        if self.is_counted(now) {
            let millis = wait.as_millis() as u64;
            self.first_tokens[workspace].saturating_record(millis);
        }
    }

    /// First-token time of all workspaces at a quantile, in milliseconds.
    pub fn first_token_quantile(&self, quantile: f64) -> u64 {
        let mut all: Histogram<u64> =
            Histogram::new(3).expect("three significant digits are allowed");
        for histogram in &self.first_tokens {
            all.add(histogram)
                .expect("both histograms have the same precision");
        }
        all.value_at_quantile(quantile)
    }

    /// Good first tokens per second between two seconds of the simulation.
    pub fn good_between(&self, from: usize, until: usize) -> f64 {
        self.good_by_second[from..until].iter().sum::<u64>() as f64 / (until - from) as f64
    }
}
