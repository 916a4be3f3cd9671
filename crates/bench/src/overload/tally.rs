//! What a run counts.

use base::prelude::*;
use hdrhistogram::Histogram;

/// Counts after the warm-up of one run.
pub struct RunTally {
    warm: ClockTime,
    end: ClockTime,
    /// New calls, without returns.
    pub offered: u64,
    /// Calls finished whose first token was in time.
    pub good: u64,
    /// Refusals.
    pub refused: u64,
    /// Attempts after a failed one, by nodes.
    pub retried: u64,
    /// Times that callers came back.
    pub returned: u64,
    /// Callers that hung up.
    pub hung_up: u64,
    /// Callers that gave up for good.
    pub lost: u64,
    /// Calls started, and those that found their prefix cached.
    pub started: u64,
    pub cached: u64,
    /// Largest count of calls at one endpoint over its slots.
    pub peak: f64,
    /// First-token times in milliseconds by workspace.
    pub first_tokens: Vec<Histogram<u64>>,
    /// Good first tokens in each second of the run.
    pub seconds: Vec<u64>,
}

impl RunTally {
    /// Nothing counted yet.
    pub fn new(warm: ClockTime, end: ClockTime, workspaces: usize) -> Self {
        let histogram = Histogram::new(3).expect("three digits are allowed");
        Self {
            warm,
            end,
            offered: 0,
            good: 0,
            refused: 0,
            retried: 0,
            returned: 0,
            hung_up: 0,
            lost: 0,
            started: 0,
            cached: 0,
            peak: 0.0,
            first_tokens: vec![histogram; workspaces],
            seconds: vec![0; end.0.div_ceil(1_000_000) as usize + 1],
        }
    }

    /// Whether an instant is counted.
    pub fn counts(&self, now: ClockTime) -> bool {
        now >= self.warm && now < self.end
    }

    /// Counted seconds.
    pub fn span(&self) -> f64 {
        self.end.since(self.warm).as_secs_f64()
    }

    /// Takes in a first token.
    pub fn record_first(&mut self, workspace: usize, wait: Duration, good: bool, now: ClockTime) {
        if good {
            self.seconds[(now.0 / 1_000_000) as usize] += 1;
        }
        if self.counts(now) {
            let millis = wait.as_millis() as u64;
            self.first_tokens[workspace].saturating_record(millis);
        }
    }

    /// First-token time of all workspaces at a quantile, in milliseconds.
    pub fn first_token(&self, quantile: f64) -> u64 {
        let mut all: Histogram<u64> = Histogram::new(3).expect("three digits are allowed");
        for histogram in &self.first_tokens {
            all.add(histogram).expect("both have the same digits");
        }
        all.value_at_quantile(quantile)
    }

    /// Good first tokens a second between two seconds of the run.
    pub fn good_between(&self, from: usize, until: usize) -> f64 {
        self.seconds[from..until].iter().sum::<u64>() as f64 / (until - from) as f64
    }
}
