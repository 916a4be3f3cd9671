//! State of one node: the servers' limits and its own share of them.

use std::collections::{BTreeMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};

use base::prelude::*;

use crate::allowance::SendAllowance;
use crate::cold::SEND_WINDOW;
use crate::{ReportScope, RequestRate};

/// This node's part of what all nodes may send.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NodeShare {
    /// Part of each limit, from zero to one; those of all nodes sum up to one.
    pub fraction: f64,
    /// Place among all nodes, from zero to one; staggers their turns.
    pub position: f64,
}

impl Default for NodeShare {
    fn default() -> Self {
        Self {
            fraction: 1.0,
            position: 0.0,
        }
    }
}

/// How often an announcement was in messages to other nodes.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ToldCount {
    own: u32,
    all: u32,
}

impl ToldCount {
    /// Number of messages of this scope.
    pub fn of(&self, scope: ReportScope) -> u32 {
        match scope {
            ReportScope::Own => self.own,
            ReportScope::All => self.all,
        }
    }

    pub fn increment(&mut self, scope: ReportScope) {
        let count = match scope {
            ReportScope::Own => &mut self.own,
            ReportScope::All => &mut self.all,
        };
        *count = count.saturating_add(1);
    }
}

/// Latest announcement of one server.
#[derive(Clone, Debug)]
pub(crate) struct LimitEntry {
    /// Its limit; `None` if it has stopped naming one.
    pub limit: Option<RequestRate>,
    pub heard_at: ClockTime,
    /// Whether this node heard it from the server itself.
    pub is_own: bool,
    /// Since the limit has changed.
    pub told: ToldCount,
    pub allowance: SendAllowance,
}

/// Announcement of a server that leaves.
#[derive(Clone, Debug)]
pub(crate) struct LeavingEntry {
    pub incarnation: HostIncarnation,
    pub heard_at: ClockTime,
    /// Whether this node heard it from the server itself.
    pub is_own: bool,
    pub told: ToldCount,
}

/// Time in which a server wants nothing from this node.
#[derive(Clone, Debug)]
pub(crate) struct PauseEntry {
    pub incarnation: HostIncarnation,
    pub until: ClockTime,
}

/// What this node may send to a server while that is cold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ColdLimit {
    /// Start of the server.
    pub incarnation: HostIncarnation,
    /// End of the time in which it is cold.
    pub until: ClockTime,
    /// Most requests of this node within the window; zero if it is no sender.
    pub per_window: u32,
}

/// Instants of a node's last requests to a server, the latest one last.
#[derive(Clone, Debug, Default)]
pub(crate) struct SendLog(VecDeque<ClockTime>);

impl SendLog {
    /// Largest number of instants that are kept; more than any sender's limit.
    const CAPACITY: usize = 8;

    /// Adds a request.
    pub fn record(&mut self, now: ClockTime) {
        if self.0.len() == Self::CAPACITY {
            self.0.pop_front();
        }
        self.0.push_back(now);
    }

    /// Instant from which another request leaves at most `limit` within the window.
    pub fn open_at(&self, limit: u32) -> ClockTime {
        let excess = (self.0.len() + 1).checked_sub(limit as usize);
        match excess.and_then(|excess| self.0.get(excess.checked_sub(1)?)) {
            Some(at) => *at + SEND_WINDOW,
            None => ClockTime::default(),
        }
    }

    /// Whether no request counts any more.
    pub fn is_over(&self, now: ClockTime) -> bool {
        let last = self.0.back();
        last.is_none_or(|at| now.since(*at) >= SEND_WINDOW)
    }
}

/// Announcements of servers, and this node's turns to send to those with a limit.
#[derive(Clone, Debug, Default)]
pub struct NoticeState {
    pub(crate) limits: BTreeMap<HostName, LimitEntry>,
    pub(crate) leaving: BTreeMap<HostName, LeavingEntry>,
    pub(crate) pauses: BTreeMap<HostName, PauseEntry>,
    pub(crate) share: NodeShare,
    /// Cold servers.
    pub(crate) cold: BTreeMap<HostName, ColdLimit>,
    /// Last requests to each server, if servers can be cold.
    pub(crate) sent: BTreeMap<HostName, SendLog>,
    /// Whether servers can be cold at all.
    pub(crate) has_cold_limits: bool,
    /// Instant from which this node may send to cold servers.
    pub(crate) cold_from: ClockTime,
    /// Times that a server was passed over because it is cold.
    pub(crate) cold_skips: u64,
}

impl NoticeState {
    /// State without announcements.
    pub fn new() -> Self {
        Self::default()
    }

    /// Progress towards the first turn at a server, which differs from node to node and from
    /// server to server.
    pub(crate) fn first_progress(&self, server: &HostName) -> f64 {
        let mut hasher = DefaultHasher::new();
        server.as_str().hash(&mut hasher);
        let offset = (hasher.finish() >> 11) as f64 / (1_u64 << 53) as f64;
        (self.share.position + offset).fract()
    }

    /// Turns a second that this node earns at a limit.
    pub(crate) fn turn_rate(&self, limit: RequestRate) -> f64 {
        limit.per_second() * self.share.fraction
    }
}
