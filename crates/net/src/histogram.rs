//! Latency histograms by workspace and class of call.

use std::collections::BTreeMap;

use base::prelude::*;
use hdrhistogram::Histogram;

/// Longest duration that a histogram records; longer ones count as this one.
const MAX_DURATION_MICROS: u64 = 3_600_000_000;
/// Precision of a histogram in significant decimal digits.
const SIGNIFICANT_DIGITS: u8 = 2;

/// Identity of a histogram.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct HistogramKey {
    /// Workspace whose calls are measured.
    pub workspace: WorkspaceName,
    /// Class of those calls.
    pub class: Arc<str>,
    /// Measured quantity, such as the time to the first token.
    pub measure: &'static str,
}

/// Percentiles of one histogram, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HistogramSummary {
    /// Number of recorded values.
    pub count: u64,
    /// Median.
    pub p50: u64,
    /// 95th percentile.
    pub p95: u64,
    /// 99th percentile.
    pub p99: u64,
    /// Largest value.
    pub max: u64,
}

/// Histograms of one process.
#[derive(Debug, Default)]
pub struct HistogramSet(BTreeMap<HistogramKey, Histogram<u64>>);

impl HistogramSet {
    /// Records one duration.
    pub fn record(&mut self, key: HistogramKey, duration: Duration) {
        let histogram = self.0.entry(key).or_insert_with(new_histogram);
        let micros = u64::try_from(duration.as_micros()).unwrap_or(MAX_DURATION_MICROS);
        histogram.saturating_record(micros);
    }

    /// Percentiles of every histogram.
    pub fn summaries(&self) -> impl Iterator<Item = (&HistogramKey, HistogramSummary)> {
        self.0
            .iter()
            .map(|(key, histogram)| (key, summarize(histogram)))
    }
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_DURATION_MICROS, SIGNIFICANT_DIGITS)
        .expect("the bounds and digits are valid constants")
}

fn summarize(histogram: &Histogram<u64>) -> HistogramSummary {
    HistogramSummary {
        count: histogram.len(),
        p50: histogram.value_at_quantile(0.50),
        p95: histogram.value_at_quantile(0.95),
        p99: histogram.value_at_quantile(0.99),
        max: histogram.max(),
    }
}
