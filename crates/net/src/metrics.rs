//! Counters and timings, sent to a StatsD server.

use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::time::Duration;

use cadence::prelude::*;
use cadence::{BufferedUdpMetricSink, StatsdClient};

/// Receiver of metrics.
pub trait MetricSink {
    /// Adds to a counter.
    fn count(&self, name: &str, tags: &[(&str, &str)], amount: i64);

    /// Sets the present value of something.
    fn set(&self, name: &str, tags: &[(&str, &str)], value: u64);

    /// Records a duration.
    fn time(&self, name: &str, tags: &[(&str, &str)], duration: Duration);

    /// Sends buffered metrics.
    fn flush(&self);
}

/// Sink that discards all metrics.
#[derive(Clone, Copy, Debug, Default)]
pub struct NullMetrics;

impl MetricSink for NullMetrics {
    fn count(&self, _name: &str, _tags: &[(&str, &str)], _amount: i64) {}

    fn set(&self, _name: &str, _tags: &[(&str, &str)], _value: u64) {}

    fn time(&self, _name: &str, _tags: &[(&str, &str)], _duration: Duration) {}

    fn flush(&self) {}
}

/// Sink that sends StatsD datagrams from the current thread.
#[derive(Debug)]
pub struct StatsdMetrics(StatsdClient);

impl StatsdMetrics {
    /// Creates a sink that sends to a StatsD server; `prefix` is prepended to every name.
    pub fn new(server: SocketAddr, prefix: &str) -> io::Result<Self> {
        let socket = UdpSocket::bind("0.0.0.0:0")?;
        socket.set_nonblocking(true)?;
        let sink = BufferedUdpMetricSink::from(server, socket).map_err(io::Error::other)?;
        Ok(Self(StatsdClient::from_sink(prefix, sink)))
    }
}

impl MetricSink for StatsdMetrics {
    fn count(&self, name: &str, tags: &[(&str, &str)], amount: i64) {
        let metric = self.0.count_with_tags(name, amount);
        tags.iter()
            .fold(metric, |metric, (key, value)| metric.with_tag(key, value))
            .send();
    }

    fn set(&self, name: &str, tags: &[(&str, &str)], value: u64) {
        let metric = self.0.gauge_with_tags(name, value);
        tags.iter()
            .fold(metric, |metric, (key, value)| metric.with_tag(key, value))
            .send();
    }

    fn time(&self, name: &str, tags: &[(&str, &str)], duration: Duration) {
        let metric = self.0.time_with_tags(name, duration);
        tags.iter()
            .fold(metric, |metric, (key, value)| metric.with_tag(key, value))
            .send();
    }

    fn flush(&self) {
        // Metrics are best effort: a lost datagram is ignored.
        let _ = self.0.flush();
    }
}

/// Creates a sink for a StatsD server, or one that discards everything if there is none.
pub fn statsd_sink(server: Option<SocketAddr>, prefix: &str) -> Rc<dyn MetricSink> {
    let Some(server) = server else {
        return Rc::new(NullMetrics);
    };
    match StatsdMetrics::new(server, prefix) {
        Ok(metrics) => Rc::new(metrics),
        Err(error) => {
            log::warn!("metrics cannot be sent to {server}: {error}");
            Rc::new(NullMetrics)
        }
    }
}
