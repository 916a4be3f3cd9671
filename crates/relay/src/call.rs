//! Requests, their attempts and the decisions about them.

use std::net::SocketAddr;

use base::prelude::*;
use exchange::{NotRunProof, RunCertainty};
use intent::{Route, TokenCounts};

/// Request that was accepted and is to be sent.
#[derive(Clone, Debug)]
pub struct CallArrival {
    /// Identity within this process.
    pub call: CallId,
    /// Requested host name.
    pub host: Arc<str>,
    /// Path of the URL.
    pub path: Arc<str>,
    /// Route that it matched.
    pub route: Arc<Route>,
    /// Service chosen from the route's services.
    pub service: ServiceName,
    /// Requested model; `None` for a plain service.
    pub model: Option<ModelName>,
    /// Workspace of its key; `None` without one.
    pub workspace: Option<WorkspaceName>,
    /// Its tokens, as far as they are known.
    pub tokens: TokenCounts,
    /// Whether its client has received a part of the answer before.
    pub is_resumed: bool,
    /// Priority of its workspace, or of the route; zero is the most urgent.
    pub priority: u8,
    /// Earlier of the client's deadline and the end of the route's timeout.
    pub deadline: ClockTime,
    /// Deadline that the client sent, if any.
    pub client_deadline: Option<ClockTime>,
}

/// Identity of one attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AttemptId {
    /// Request that it belongs to.
    pub call: CallId,
    /// Number among the attempts of the request, from one.
    pub number: u32,
}

/// Outcome of an attempt that brought no complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// No byte was sent.
    NotSent(NotRunProof),
    /// The node that was to pass the request on did not; nothing was sent to the target.
    NotPassedOn(NotRunProof),
    /// Nothing was sent, as a version of the configuration that came into force meanwhile lets
    /// the request run once only.
    Withheld(NotRunProof),
    /// Nothing was sent, as the node that was to pass the request on knows it to be quarantined.
    Quarantined(NotRunProof),
    /// The target reported that it did not run the request.
    NotRun(NotRunProof),
    /// The target did not run the request, as its group has lost a member.
    GroupBroken(NotRunProof),
    /// The address belongs to another server, or the server is in no group; nothing was run.
    Misdirected(NotRunProof),
    /// The request may have run, and no usable response arrived.
    Lost,
    /// The request may have run; the node that carried it has seen the target break the connection.
    Crashed,
    /// The request may have run; the target sent a response that isn't its own, or isn't usable.
    Discarded,
    /// The target stopped sending.
    Stalled,
    /// The stream was interrupted after some events.
    Cut,
    /// The target responded with an error of its own.
    Failed,
}

impl AttemptEnd {
    /// Proof that the request was not run, if there is one.
    pub fn not_run(self) -> Option<NotRunProof> {
        match self {
            Self::NotSent(proof)
            | Self::NotPassedOn(proof)
            | Self::Withheld(proof)
            | Self::Quarantined(proof)
            | Self::NotRun(proof)
            | Self::GroupBroken(proof)
            | Self::Misdirected(proof) => Some(proof),
            Self::Lost
            | Self::Crashed
            | Self::Discarded
            | Self::Stalled
            | Self::Cut
            | Self::Failed => None,
        }
    }

    /// Name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotSent(_) => "not-sent",
            Self::NotPassedOn(_) => "not-passed-on",
            Self::Withheld(_) => "withheld",
            Self::Quarantined(_) => "quarantined",
            Self::NotRun(_) => "not-run",
            Self::GroupBroken(_) => "group-broken",
            Self::Misdirected(_) => "not-here",
            Self::Lost => "lost",
            Self::Crashed => "crashed",
            Self::Discarded => "discarded",
            Self::Stalled => "stalled",
            Self::Cut => "cut",
            Self::Failed => "failed",
        }
    }
}

/// Attempt to be made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SendOrder {
    /// Identity of the attempt.
    pub attempt: AttemptId,
    /// Target of the attempt.
    pub target: HostName,
    /// Start of the target.
    pub incarnation: HostIncarnation,
    /// Epoch of its group.
    pub epoch: GroupEpoch,
    /// Address of the target.
    pub address: SocketAddr,
    /// Address of the node that passes the request on; `None` if it is sent to the target itself.
    pub via: Option<SocketAddr>,
    /// Instant by which the response must be complete.
    pub deadline: ClockTime,
    /// Instant of the first stall check if nothing arrives before.
    pub check_at: ClockTime,
    /// Rank in the target's queue, from 0 (first) to 9.
    pub rank: u8,
    /// Requests of all nodes at the target before this one, from the latest counts.
    pub load: u32,
    /// Whether another attempt of the request may have run.
    pub is_repeat: bool,
    /// Servers that were passed over because of what they have announced.
    pub passed_over: u32,
    /// Whether the target has announced something that its next response may end.
    pub has_notice: bool,
}

/// Attempt that was sent and has not ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SentAttempt {
    /// Target of the attempt.
    pub target: HostName,
    /// Start of the target.
    pub incarnation: HostIncarnation,
    /// Epoch of its group.
    pub epoch: GroupEpoch,
    /// Instant at which it was sent.
    pub sent_at: ClockTime,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// No target accepts requests of this kind.
    NoTarget,
    /// Every target is full.
    Overload,
    /// Every target is full, and the request's workspace has had its share of what becomes free.
    OverShare,
    /// The request is late, and requests that are in time take the slots.
    NoHeadroom,
    /// Every target is full, limited or wants nothing for a while, and more urgent requests take
    /// what is left.
    Limited,
    /// The attempts are used up.
    Exhausted,
    /// The retry budget of the service is used up.
    NoBudget,
    /// Too little time is left before the deadline.
    DeadlinePassed,
}

impl RefusalReason {
    /// Name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoTarget => "no-place",
            Self::Overload => "overload",
            Self::OverShare => "over-share",
            Self::NoHeadroom => "no-headroom",
            Self::Limited => "limited",
            Self::Exhausted => "exhausted",
            Self::NoBudget => "no-budget",
            Self::DeadlinePassed => "late",
        }
    }
}

/// Refusal of a request for which engines are not expected to have a slot in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionRefusal {
    /// Predicted wait for a slot.
    pub predicted_wait: Duration,
    /// Priority of the request.
    pub priority: u8,
}

/// Refusal that this node sends to the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why the request is refused.
    pub reason: RefusalReason,
    /// Whether it is certain that no target has run the request.
    pub run: RunCertainty,
    /// Delay after which the client may retry; `None` if the request may have run.
    pub retry_after: Option<Duration>,
    /// Prediction by which the request was not admitted, if that is the reason.
    pub admission: Option<AdmissionRefusal>,
}

impl Refusal {
    /// Whether a target may have run the request.
    pub fn may_have_run(&self) -> bool {
        self.run == RunCertainty::MayHaveRun
    }
}

/// Next step of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallStep {
    /// Make an attempt.
    Send(SendOrder),
    /// Go on with the attempts that are still open.
    Wait,
    /// Refuse the request.
    Refuse(Refusal),
}

/// Why this node ends an attempt that its target has not ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StallCause {
    /// The target sends nothing.
    Silent,
    /// The target sends nothing, and no event has come from it yet.
    NotBegun,
    /// Its group closes, has ended or was formed anew.
    GroupChanged,
    /// This node reaches no target.
    CutOff,
    /// The request or a part of its prompt is quarantined.
    Quarantined,
    /// The event loop has ended.
    LoopEnded,
}

impl StallCause {
    /// Name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Silent => "silent",
            Self::NotBegun => "not-begun",
            Self::GroupChanged => "group-changed",
            Self::CutOff => "cut-off",
            Self::Quarantined => "quarantined",
            Self::LoopEnded => "loop-ended",
        }
    }
}

/// Decision about an attempt whose target is silent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StallStep {
    /// Keep waiting and check again.
    Wait {
        /// Instant of the next check.
        until: ClockTime,
    },
    /// Make another attempt, and keep this one open until one of them makes progress.
    Move(StallCause, Box<SendOrder>),
    /// Abort the attempt; it ends as stalled.
    Abort(StallCause),
}
