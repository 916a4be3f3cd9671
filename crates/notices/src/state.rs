//! State of one node: the servers' limits and its own share of them.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use base::prelude::*;

use crate::allowance::SendAllowance;
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

/// Announcements of servers, and this node's turns to send to those with a limit.
#[derive(Clone, Debug, Default)]
pub struct NoticeState {
    pub(crate) limits: BTreeMap<HostName, LimitEntry>,
    pub(crate) leaving: BTreeMap<HostName, LeavingEntry>,
    pub(crate) pauses: BTreeMap<HostName, PauseEntry>,
    pub(crate) share: NodeShare,
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
