//! Servers that take requests.

use std::collections::HashMap;
use std::net::SocketAddr;

use base::prelude::*;

/// Server that takes requests: the head of a group, or a plain server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SendTarget {
    /// Server.
    pub id: HostName,
    /// Its address.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainName,
    /// Service.
    pub service: ServiceName,
    /// Model, for the head of a group.
    pub model: Option<ModelName>,
    /// Generation of its group; zero for a plain server.
    pub epoch: GroupEpoch,
    /// Requests that it runs at once.
    pub slots: usize,
}

/// Requests at a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LaneCounts {
    /// Those that should be answered in time.
    pub fast: u32,
    /// Those that wait for room that the others leave.
    pub slow: u32,
}

/// Lane of a request in its server's queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lane {
    /// It can still be answered in time.
    Fast,
    /// It is answered when there is room.
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

    /// Count of both lanes.
    pub(crate) fn sum(self) -> u32 {
        self.fast + self.slow
    }

    /// Count without another one.
    pub(crate) fn minus(self, other: Self) -> Self {
        Self {
            fast: self.fast.saturating_sub(other.fast),
            slow: self.slow.saturating_sub(other.slow),
        }
    }

    pub(crate) fn plus(self, other: Self) -> Self {
        Self {
            fast: self.fast + other.fast,
            slow: self.slow + other.slow,
        }
    }
}

/// What runs at a target, and how it has done lately.
#[derive(Clone, Debug, Default)]
pub struct TargetLoad {
    /// Requests of this node.
    pub local: LaneCounts,
    /// Requests of the other nodes, as they told.
    pub remote: HashMap<NodeName, (LaneCounts, ClockTime)>,
    /// Requests that it reports and no node has told of, and until when that holds.
    pub(crate) unclaimed: (u32, ClockTime),
    /// Last time that bytes came from it.
    pub(crate) heard_at: Option<ClockTime>,
    /// Instant until which it counts as suspect, because its streams are silent.
    pub(crate) suspect_until: ClockTime,
    /// Failures in a row.
    pub(crate) failures: u32,
    /// Instant until which other targets are preferred.
    pub(crate) avoid_until: ClockTime,
}

impl TargetLoad {
    /// Requests of all nodes, as far as known, and those of nodes that are gone.
    pub fn total(&self, now: ClockTime) -> LaneCounts {
        self.claimed(now).plus(self.unclaimed(now))
    }

    /// Requests that nodes have told of.
    pub(crate) fn claimed(&self, now: ClockTime) -> LaneCounts {
        let fresh = self.remote.values().filter(|(_, expires)| *expires > now);
        fresh.fold(self.local, |sum, (counts, _)| sum.plus(*counts))
    }

    /// Requests of nodes that are gone.
    pub(crate) fn unclaimed(&self, now: ClockTime) -> LaneCounts {
        let (fast, expires) = self.unclaimed;
        LaneCounts {
            fast: if expires > now { fast } else { 0 },
            slow: 0,
        }
    }
}
