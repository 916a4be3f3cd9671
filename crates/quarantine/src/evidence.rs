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

/// Parts of one request's prompt that other requests may share.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptParts {
    /// The parts, without the last one, which belongs to the request itself.
    pub shared: Vec<PromptPart>,
}

/// Digest of a whole request; every repetition of the request has the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestDigest(pub u64);

impl RequestDigest {
    /// Digest of the same content from a caller of a workspace; callers of different workspaces
    /// are never judged together.
    pub fn of_workspace(self, workspace: Option<&WorkspaceName>) -> Self {
        let name = workspace.map_or("", WorkspaceName::as_str);
        Self(XxHash64::oneshot(self.0, name.as_bytes()))
    }
}

impl fmt::Display for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// How far a server has come with the answer to a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum AnswerStage {
    /// The first event has arrived.
    #[default]
    Begun,
    /// Events have arrived for a while.
    Sustained,
    /// The answer is complete.
    Whole,
}

impl AnswerStage {
    /// All stages in order.
    pub const ALL: [Self; 3] = [Self::Begun, Self::Sustained, Self::Whole];
}

/// What may be the cause of a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum CrashSuspect {
    /// A part of a prompt, whatever else the request holds.
    Part(PromptPart),
    /// A request as a whole.
    Request(RequestDigest),
}

impl CrashSuspect {
    /// The same part or request, with the crashes before a stage of the answer.
    ///
    /// Each stage has a number of its own, as answers that reach it clear only crashes before it.
    /// Nodes of builds that know just the first stage pass the others on as suspects that none of
    /// their requests has, and so never clear them.
    pub fn before(self, stage: AnswerStage) -> Self {
        if stage == AnswerStage::Begun {
            return self;
        }
        let number = |number: u64| XxHash64::oneshot(stage as u64, &number.to_le_bytes());
        match self {
            Self::Part(part) => Self::Part(PromptPart(number(part.0))),
            Self::Request(digest) => Self::Request(RequestDigest(number(digest.0))),
        }
    }
}

impl fmt::Display for CrashSuspect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Part(part) => write!(f, "part:{part}"),
            Self::Request(digest) => write!(f, "request:{digest}"),
        }
    }
}

/// Everything about one request that may crash a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallSuspects {
    /// Shared parts of its prompt; none at a plain service.
    pub parts: PromptParts,
    /// The request itself.
    pub digest: RequestDigest,
}

impl CallSuspects {
    /// The parts and the request.
    pub fn iter(&self) -> impl Iterator<Item = CrashSuspect> {
        let parts = self.parts.shared.iter().copied().map(CrashSuspect::Part);
        parts.chain([CrashSuspect::Request(self.digest)])
    }

    /// The parts and the request with the crashes before a stage of the answer.
    pub fn before(&self, stage: AnswerStage) -> impl Iterator<Item = CrashSuspect> {
        self.iter().map(move |suspect| suspect.before(stage))
    }
}

/// Crash of one server: a start of it, in one group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ServerCrash(pub u64);

impl ServerCrash {
    /// Crash of the head of a group, or of a plain server.
    pub fn of(head: &HostName, incarnation: HostIncarnation, epoch: GroupEpoch) -> Self {
        let start = XxHash64::oneshot(epoch.0, &incarnation.0.to_le_bytes());
        Self(XxHash64::oneshot(start, head.as_str().as_bytes()))
    }
}

/// Part of a request whose answer a crashed server had not brought to a stage, or the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashReport {
    /// The part or the request, with the crashes before the stage.
    pub suspect: CrashSuspect,
    /// Stage that the answer had not reached.
    pub stage: AnswerStage,
    /// The crash.
    pub crash: ServerCrash,
    /// The request.
    pub request: RequestDigest,
    /// Instant at which the request was sent to the server.
    pub sent_at: ClockTime,
    /// Instant of the crash.
    pub seen_at: ClockTime,
}

/// Part or request of which an answer has reached a stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SuspectClearance {
    /// The part or the request, with the crashes before the stage.
    pub suspect: CrashSuspect,
    /// Instant of the answer; earlier reports are void.
    pub cleared_at: ClockTime,
}

/// Reports and clearances of one or several nodes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CrashEvidence {
    /// Reports.
    pub reports: Vec<CrashReport>,
    /// Clearances.
    pub clearances: Vec<SuspectClearance>,
}

impl CrashEvidence {
    /// Most bytes of a report in a message.
    pub const REPORT_BYTES: usize = 48;
    /// Most bytes of a clearance in a message.
    pub const CLEARANCE_BYTES: usize = 24;

    /// Most bytes that it takes in a message.
    pub fn byte_count(&self) -> usize {
        let reports = self.reports.len() * Self::REPORT_BYTES;
        reports + self.clearances.len() * Self::CLEARANCE_BYTES
    }

    /// The first reports and clearances that fit into a message of limited size; clearances may
    /// take half of it if there are reports.
    pub fn within(mut self, max_bytes: usize) -> Self {
        let for_reports = (self.reports.len() * Self::REPORT_BYTES).min(max_bytes / 2);
        let clearances = (max_bytes - for_reports) / Self::CLEARANCE_BYTES;
        self.clearances.truncate(clearances);
        let left = max_bytes - self.clearances.len() * Self::CLEARANCE_BYTES;
        self.reports.truncate(left / Self::REPORT_BYTES);
        self
    }

    /// Whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.reports.is_empty() && self.clearances.is_empty()
    }
}
