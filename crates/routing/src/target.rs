//! Targets of calls: replica groups and plain servers.

use std::fmt;

use base::prelude::*;

/// Name of a replica group or plain server.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum TargetId {
    /// Replica group of a model.
    Group(GroupName),
    /// Plain server.
    Host(HostName),
}

impl TargetId {
    /// Name of the group or host.
    pub fn as_str(&self) -> &str {
        match self {
            Self::Group(group) => group.as_str(),
            Self::Host(host) => host.as_str(),
        }
    }
}

impl fmt::Display for TargetId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Target that can receive calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetSpec {
    /// Name of the target.
    pub target: TargetId,
    /// Changes when the target restarts or its members change, which resets its load,
    /// known cache contents and leaving mark.
    pub incarnation: u64,
    /// Number of calls that it can run at the same time.
    pub slots: usize,
}

/// Load reported by a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadSample {
    /// Number of running calls.
    pub running: u32,
    /// Number of waiting calls.
    pub waiting: u32,
}
