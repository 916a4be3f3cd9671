//! Requests, their attempts and what becomes of them.

use std::net::SocketAddr;

use base::prelude::*;
use intent::Route;

/// Request that has passed the checks.
#[derive(Clone, Debug)]
pub struct CallArrival {
    /// Number within this process.
    pub call: CallId,
    /// Route it takes.
    pub route: Arc<Route>,
    /// Service chosen among the route's targets.
    pub service: ServiceName,
    /// Model it asks for, where the service runs models.
    pub model: Option<ModelName>,
    /// Instant at which its client or its route gives up.
    pub deadline: ClockTime,
    /// Instant at which its client gives up, if it says so.
    pub client_deadline: Option<ClockTime>,
}

/// How one attempt ended without a whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// No byte could be sent.
    NotSent,
    /// The server said that it did not run the request.
    NotRun,
    /// Another server has the address, or the server is in no group; nothing was run.
    Misdirected,
    /// The request may have run, and no usable answer came.
    Lost,
    /// The server went silent.
    Stalled,
    /// The stream broke off after some events.
    Cut,
    /// The server answered with a failure of its own.
    Failed,
}

impl AttemptEnd {
    /// Whether the server can't have run the request.
    pub fn is_not_run(self) -> bool {
        matches!(self, Self::NotSent | Self::NotRun | Self::Misdirected)
    }

    /// Word for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotSent => "not-sent",
            Self::NotRun => "not-run",
            Self::Misdirected => "not-here",
            Self::Lost => "lost",
            Self::Stalled => "stalled",
            Self::Cut => "cut",
            Self::Failed => "failed",
        }
    }
}

/// One attempt to make.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SendOrder {
    /// Server.
    pub target: HostName,
    /// Its address.
    pub address: SocketAddr,
    /// Instant by which the answer must be whole.
    pub deadline: ClockTime,
    /// Instant at which silence is looked at.
    pub check_at: ClockTime,
    /// Rank in the server's queue, 0 to 9.
    pub rank: u8,
    /// Requests that all nodes had there, as far as known.
    pub load: u32,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// Nothing takes requests of this kind now.
    NoTarget,
    /// Every target is full.
    Overload,
    /// The attempts or the budget for more are used up.
    Exhausted,
    /// Its time is up.
    DeadlinePassed,
}

impl RefusalReason {
    /// Word for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoTarget => "no-place",
            Self::Overload => "overload",
            Self::Exhausted => "exhausted",
            Self::DeadlinePassed => "late",
        }
    }
}

/// Final answer of the gateway's own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Reason.
    pub reason: RefusalReason,
    /// Whether a server may have run it.
    pub may_have_run: bool,
    /// When to come back, where it has not run.
    pub retry_after: Option<Duration>,
}

/// What to do with a request next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallStep {
    /// Send it.
    Send(SendOrder),
    /// Give up.
    Refuse(Refusal),
}

/// What to do about a silent server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StallStep {
    /// Go on waiting and look again.
    Wait {
        /// Instant of the next look.
        until: ClockTime,
    },
    /// Drop the attempt; it ends as stalled.
    Abort,
}
