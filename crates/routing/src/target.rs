//! What a call can be sent to.

use std::fmt;

use base::prelude::*;

/// Replica group or plain server.
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

/// Target that may serve.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetSpec {
    /// Target it is about.
    pub target: TargetId,
    /// Changes when it restarts or its members change; what was learned of an
    /// earlier run is forgotten.
    pub incarnation: u64,
    /// Calls that it runs at once.
    pub slots: usize,
}

/// Load that a target reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadSample {
    /// Calls running.
    pub running: u32,
    /// Calls waiting.
    pub waiting: u32,
}
