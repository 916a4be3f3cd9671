//! Messages and bytes that this node sends to other nodes.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use base::prelude::*;
use net::MetricSink;

/// Interval between two log lines.
const LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Bytes in an interval from which a line is logged: a third of the smallest link.
const MIN_LOGGED_BYTES: usize = 800_000;

/// Counts messages to other nodes, and logs what a busy link carries.
pub(super) struct TrafficMeter {
    metrics: Rc<dyn MetricSink>,
    interval: RefCell<TrafficInterval>,
}

/// Bytes sent since the last log line, by the kind of message.
struct TrafficInterval {
    ends_at: ClockTime,
    bytes: BTreeMap<&'static str, usize>,
    /// Messages that waited for their budget.
    delayed: BTreeMap<&'static str, usize>,
    /// Longest such wait.
    longest_delay: Duration,
}

impl TrafficInterval {
    /// Creates the interval that begins at an instant.
    fn new(now: ClockTime) -> Self {
        Self {
            ends_at: now + LOG_INTERVAL,
            bytes: BTreeMap::new(),
            delayed: BTreeMap::new(),
            longest_delay: Duration::ZERO,
        }
    }

    fn log(&self) {
        let total: usize = self.bytes.values().sum();
        if total >= MIN_LOGGED_BYTES {
            log::info!(total, bytes:? = self.bytes; "bytes sent to other nodes");
        }
        if !self.delayed.is_empty() {
            let longest_ms = self.longest_delay.as_millis() as u64;
            log::info!(messages:? = self.delayed, longest_ms; "messages to nodes waited for the budget");
        }
    }
}

impl TrafficMeter {
    /// Creates a meter that starts now.
    pub fn new(metrics: Rc<dyn MetricSink>, now: ClockTime) -> Self {
        Self {
            metrics,
            interval: RefCell::new(TrafficInterval::new(now)),
        }
    }

    /// Records a message that a newer one has replaced before it was sent.
    pub fn record_replaced(&self, kind: &'static str) {
        let tags = [("kind", kind), ("result", "replaced")];
        self.metrics.count("peer_messages", &tags, 1);
    }

    /// Records how long a message waited for its budget.
    pub fn record_delay(&self, kind: &'static str, delay: Duration) {
        self.metrics
            .count("peer_messages_delayed", &[("kind", kind)], 1);
        let mut interval = self.interval.borrow_mut();
        *interval.delayed.entry(kind).or_default() += 1;
        interval.longest_delay = interval.longest_delay.max(delay);
    }

    /// Records a message and its result: `sent`, `dropped` (the queue was full), `unreachable`,
    /// `broken` or `timed-out`.
    pub fn record(
        &self,
        kind: &'static str,
        result: &'static str,
        byte_count: usize,
        now: ClockTime,
    ) {
        let tags = [("kind", kind), ("result", result)];
        self.metrics.count("peer_messages", &tags, 1);
        let amount = i64::try_from(byte_count).unwrap_or(i64::MAX);
        self.metrics.count("peer_bytes", &tags, amount);
        let mut interval = self.interval.borrow_mut();
        if now >= interval.ends_at {
            interval.log();
            *interval = TrafficInterval::new(now);
        }
        if result == "sent" || result == "timed-out" {
            *interval.bytes.entry(kind).or_default() += byte_count;
        }
    }
}
