//! What has been read, and when the next reads are due.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use base::prelude::*;
use document::ConfigState;
use interface::{DrainList, HostEntry, Presence};

/// Spans between reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatchTimes {
    /// Interval between two questions to the same host.
    pub poll_interval: Duration,
    /// Interval between two reads of the same list.
    pub read_interval: Duration,
    /// Longest wait of a watch.
    pub watch_timeout: Duration,
}

/// Interval between two reads of the same list.
const READ_INTERVAL: Duration = Duration::from_secs(1);
/// Longest wait of a watch; a connection that went silent costs no more, so that
/// a change is in force within three seconds all the same.
const WATCH_SPAN: Duration = Duration::from_millis(1_500);

impl WatchTimes {
    /// Spans of a daemon that asks hosts at an interval.
    pub fn new(poll_interval: Duration) -> Self {
        Self {
            poll_interval,
            read_interval: READ_INTERVAL,
            watch_timeout: WATCH_SPAN,
        }
    }
}

/// What one daemon has read of the platform.
#[derive(Debug)]
pub struct WatchState {
    /// Configuration in force.
    pub config: ConfigState,
    /// Hosts as last listed.
    pub hosts: BTreeMap<HostName, HostEntry>,
    /// Hosts that operators are draining.
    pub drains: DrainList,
    /// Nodes that run a gateway, as far as is known; at least one.
    pub nodes: usize,
    pub(crate) times: WatchTimes,
    pub(crate) document: DueTimer,
    pub(crate) good_sections: DueTimer,
    pub(crate) fabrics: DueTimer,
    pub(crate) listed: DueTimer,
    pub(crate) drained: DueTimer,
    pub(crate) counted: DueTimer,
    pub(crate) questions: BTreeMap<HostName, HostQuestion>,
}

/// Question that a host is asked again and again.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HostQuestion {
    pub address: SocketAddr,
    pub ask_at: ClockTime,
}

impl WatchState {
    /// State of a daemon that has read nothing yet.
    pub fn new(times: WatchTimes) -> Self {
        let start = DueTimer::at(ClockTime::default());
        Self {
            config: ConfigState::default(),
            hosts: BTreeMap::new(),
            drains: DrainList::default(),
            nodes: 1,
            times,
            document: start,
            good_sections: DueTimer::default(),
            fabrics: start,
            listed: start,
            drained: start,
            counted: start,
            questions: BTreeMap::new(),
        }
    }

    /// Whether a host is about to go, by the list or by an operator's word.
    pub fn is_leaving(&self, host: &HostName) -> bool {
        let entry = self.hosts.get(host);
        let listed = entry.is_some_and(|entry| entry.presence == Presence::Leaving);
        listed || self.drains.hosts.contains(host)
    }
}
