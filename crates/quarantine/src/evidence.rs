//! What nodes report to one another about crashes.

use std::fmt;

use base::prelude::*;
use twox_hash::XxHash64;

/// Part of a prompt that requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PromptPart(pub u64);

impl fmt::Display for PromptPart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

/// Parts of one request's prompt.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptParts {
    /// Parts that other requests may share.
    pub shared: Vec<PromptPart>,
    /// Last part, which belongs to the request itself; a client's retry has the same.
    pub own: Option<PromptPart>,
}

/// Crash of one server in one group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ServerCrash(pub u64);

impl ServerCrash {
    /// Crash of the head of a group.
    pub fn of(head: &HostName, epoch: GroupEpoch) -> Self {
        Self(XxHash64::oneshot(epoch.0, head.as_str().as_bytes()))
    }
}

/// Part of a request that a crashed server had not begun to answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashReport {
    /// The part.
    pub part: PromptPart,
    /// The crash.
    pub crash: ServerCrash,
    /// Own part of the request.
    pub request: PromptPart,
    /// Instant of the crash.
    pub seen_at: ClockTime,
}

/// Part of which a server has begun an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartClearance {
    /// The part.
    pub part: PromptPart,
    /// Instant of the answer; earlier reports of the part are void.
    pub cleared_at: ClockTime,
}

/// Reports and clearances of one or several nodes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CrashEvidence {
    /// Reports.
    pub reports: Vec<CrashReport>,
    /// Clearances.
    pub clearances: Vec<PartClearance>,
}

impl CrashEvidence {
    /// Whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.reports.is_empty() && self.clearances.is_empty()
    }
}
