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
}

impl TrafficMeter {
    /// Creates a meter that starts now.
    pub fn new(metrics: Rc<dyn MetricSink>, now: ClockTime) -> Self {
        let interval = TrafficInterval {
            ends_at: now + LOG_INTERVAL,
            bytes: BTreeMap::new(),
        };
        Self {
            metrics,
            interval: RefCell::new(interval),
        }
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
            let bytes = std::mem::take(&mut interval.bytes);
            interval.ends_at = now + LOG_INTERVAL;
            let total: usize = bytes.values().sum();
            if total >= MIN_LOGGED_BYTES {
                log::info!(total, bytes:? = bytes; "bytes sent to other nodes");
            }
        }
        if result == "sent" || result == "timed-out" {
            *interval.bytes.entry(kind).or_default() += byte_count;
        }
    }
}
