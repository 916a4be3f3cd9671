//! Targets of requests and their load.

use std::collections::HashMap;
use std::net::SocketAddr;

use base::prelude::*;
use notices::ColdWindow;

/// Server that accepts requests: the head of a replica group or a plain server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SendTarget {
    /// Identity of the server.
    pub id: HostName,
    /// Start of the server.
    pub incarnation: HostIncarnation,
    /// Address for requests.
    pub address: SocketAddr,
    /// Failure domain of the server.
    pub domain: DomainName,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Model that it runs; `None` for a plain server.
    pub model: Option<ModelName>,
    /// Epoch of its group; zero for a plain server.
    pub epoch: GroupEpoch,
    /// Maximum number of concurrent requests.
    pub slots: usize,
    /// Time in which it is cold, and who may send to it meanwhile; `None` if it is warm.
    pub cold: Option<ColdWindow>,
}

/// Numbers of requests at a target, by lane.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LaneCounts {
    /// Requests in the fast lane.
    pub fast: u32,
    /// Requests in the slow lane.
    pub slow: u32,
}

/// Lane of a request in its target's queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lane {
    /// For requests that can still meet the route's objective.
    Fast,
    /// For requests that are run when the fast lane leaves slots free.
    Slow,
}

impl LaneCounts {
    /// Count of one lane.
    pub(crate) fn of(&mut self, lane: Lane) -> &mut u32 {
        match lane {
            Lane::Fast => &mut self.fast,
            Lane::Slow => &mut self.slow,
        }
    }

    /// Sum of both lanes.
    pub(crate) fn sum(self) -> u32 {
        self.fast.saturating_add(self.slow)
    }

    /// Difference by lane, at least zero.
    pub(crate) fn minus(self, other: Self) -> Self {
        Self {
            fast: self.fast.saturating_sub(other.fast),
            slow: self.slow.saturating_sub(other.slow),
        }
    }

    pub(crate) fn plus(self, other: Self) -> Self {
        Self {
            fast: self.fast.saturating_add(other.fast),
            slow: self.slow.saturating_add(other.slow),
        }
    }
}

/// Load of a target and its recent failures.
#[derive(Clone, Debug, Default)]
pub struct TargetLoad {
    /// Requests of this node.
    pub local: LaneCounts,
    /// Requests of the other nodes by node, each with the instant at which its counts expire.
    pub remote: HashMap<NodeName, (LaneCounts, ClockTime)>,
    /// Requests that the target reports beyond those announced by nodes, and when that expires.
    pub(crate) unattributed: (u32, ClockTime),
    /// Instant at which data was last received from it.
    pub(crate) received_at: Option<ClockTime>,
    /// Instant until which it is suspect because its streams are silent.
    pub(crate) suspect_until: ClockTime,
    /// Consecutive failures.
    pub(crate) failures: u32,
    /// Instant until which other targets are preferred.
    pub(crate) avoid_until: ClockTime,
}

impl TargetLoad {
    /// Requests of all nodes, including those of failed nodes that the target still runs.
    pub fn total(&self, now: ClockTime) -> LaneCounts {
        self.attributed(now).plus(self.unattributed(now))
    }

    /// Requests of this node and those announced by other nodes.
    pub(crate) fn attributed(&self, now: ClockTime) -> LaneCounts {
        let fresh = self.remote.values().filter(|(_, expires)| *expires > now);
        fresh.fold(self.local, |sum, (counts, _)| sum.plus(*counts))
    }

    /// Requests that no live node has announced; they belong to failed nodes.
    pub(crate) fn unattributed(&self, now: ClockTime) -> LaneCounts {
        let (fast, expires) = self.unattributed;
        LaneCounts {
            fast: if expires > now { fast } else { 0 },
            slow: 0,
        }
    }
}
