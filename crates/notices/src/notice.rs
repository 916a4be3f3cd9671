//! Announcements of servers, and reports of them between nodes.

use base::prelude::*;

/// Least rate that a limit stands for, so that a server that names zero is asked again at times.
const MIN_RATE: f64 = 0.1;
/// Largest rate that a limit stands for.
const MAX_RATE: f64 = 1_000_000.0;

/// Rate in thousandths of a request a second.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestRate(u32);

impl RequestRate {
    /// Rate within the supported range; `None` if the number is negative or not finite.
    pub fn new(per_second: f64) -> Option<Self> {
        let is_valid = per_second.is_finite() && per_second >= 0.0;
        is_valid.then(|| Self((per_second.clamp(MIN_RATE, MAX_RATE) * 1_000.0).round() as u32))
    }

    /// Requests a second.
    pub fn per_second(self) -> f64 {
        f64::from(self.0) / 1_000.0
    }
}

/// What a server announces about itself in a response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerNotice {
    /// Requests that it takes from all nodes together; `None` for no limit.
    pub limit: Option<RequestRate>,
    /// Whether it is about to leave.
    pub is_leaving: bool,
    /// Time for which it wants nothing from the node that it has turned away.
    pub retry_after: Option<Duration>,
}

/// One run of a server, between two starts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerRun {
    /// The server.
    pub server: HostName,
    /// Its start.
    pub incarnation: HostIncarnation,
}

/// Announcement of a server that leaves, which a node has heard from the server itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeavingReport {
    /// Run of the server that leaves.
    pub run: ServerRun,
    /// Instant at which the node heard it.
    pub heard_at: ClockTime,
}

/// Latest announcement of a server's limit that a node has heard from the server itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LimitReport {
    /// Server that announced it.
    pub server: HostName,
    /// The limit; `None` if the server has stopped naming one.
    pub limit: Option<RequestRate>,
    /// Instant at which the node heard it.
    pub heard_at: ClockTime,
}

/// Which announcements a message to other nodes is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportScope {
    /// Those that this node has heard from servers itself.
    Own,
    /// Those that other nodes have reported, too.
    All,
}

/// Announcements for a message to other nodes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NoticeReports {
    /// Limits.
    pub limits: Vec<LimitReport>,
    /// Servers that leave.
    pub leaving: Vec<LeavingReport>,
}

/// Change of a server's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitChange {
    /// The server names a limit, or another one than before.
    Named(RequestRate),
    /// The server names no limit any more.
    Ended,
}

/// Change of what is known of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoticeChange {
    /// Its limit.
    Limit(LimitChange),
    /// It has announced that it leaves.
    Leaving,
    /// It wants nothing from this node until this instant.
    Paused(ClockTime),
}
