//! Results of reads and the timers of the next ones.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use base::prelude::*;
use document::ConfigState;
use interface::{DrainList, HostEntry, Presence};

/// Intervals and timeouts of reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatchTimes {
    /// Interval between two requests for the same host's report.
    pub poll_interval: Duration,
    /// Interval between two reads of the same list.
    pub read_interval: Duration,
    /// Longest wait of a watch.
    pub watch_timeout: Duration,
}

/// Interval between two reads of the same list.
const READ_INTERVAL: Duration = Duration::from_secs(1);
/// Longest wait of a watch. It bounds the delay that a hung connection causes, so
/// that changes are still active within three seconds.
const WATCH_TIMEOUT: Duration = Duration::from_millis(1_500);

impl WatchTimes {
    /// Intervals and timeouts of a daemon with this poll interval.
    pub fn new(poll_interval: Duration) -> Self {
        Self {
            poll_interval,
            read_interval: READ_INTERVAL,
            watch_timeout: WATCH_TIMEOUT,
        }
    }
}

/// State of a daemon's reads.
#[derive(Debug)]
pub struct WatchState {
    /// Active configuration.
    pub config: ConfigState,
    /// Hosts of the last list that was read.
    pub hosts: BTreeMap<HostName, HostEntry>,
    /// Hosts that operators are draining.
    pub drains: DrainList,
    /// Number of nodes that run a gateway, from the last count; at least one.
    pub gateway_count: usize,
    pub(crate) times: WatchTimes,
    pub(crate) document_timer: DueTimer,
    pub(crate) good_sections_timer: DueTimer,
    pub(crate) fabrics_timer: DueTimer,
    pub(crate) hosts_timer: DueTimer,
    pub(crate) drains_timer: DueTimer,
    pub(crate) gateways_timer: DueTimer,
    pub(crate) polls: BTreeMap<HostName, HostPoll>,
}

/// Host that is polled for its report.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HostPoll {
    pub address: SocketAddr,
    pub next_at: ClockTime,
}

impl WatchState {
    /// State of a daemon that has not read anything yet.
    pub fn new(times: WatchTimes) -> Self {
        let start = DueTimer::at(ClockTime::default());
        Self {
            config: ConfigState::default(),
            hosts: BTreeMap::new(),
            drains: DrainList::default(),
            gateway_count: 1,
            times,
            document_timer: start,
            good_sections_timer: DueTimer::default(),
            fabrics_timer: start,
            hosts_timer: start,
            drains_timer: start,
            gateways_timer: start,
            polls: BTreeMap::new(),
        }
    }

    /// Whether a host is leaving, either by the platform's list or because an
    /// operator drains it.
    pub fn is_leaving(&self, host: &HostName) -> bool {
        let entry = self.hosts.get(host);
        let is_listed_as_leaving = entry.is_some_and(|entry| entry.presence == Presence::Leaving);
        is_listed_as_leaving || self.drains.hosts.contains(host)
    }
}
