//! One call of a caller, from its arrival to its end.

use std::net::SocketAddr;

use base::prelude::*;
use document::KeyDigest;
use ledger::{RecordedResponse, RequestDigest};
use limits::CallPriority;
use routing::{BlockHash, TargetId};

/// Call as it came in.
#[derive(Clone, Debug)]
pub struct CallArrival {
    /// Number of the call in this process.
    pub call: CallId,
    /// Digest of the caller's API key.
    pub digest: KeyDigest,
    /// Service that it addresses.
    pub service: ServiceName,
    /// What it asks for.
    pub kind: CallKind,
    /// Idempotency key, if the caller gave one.
    pub key: Option<IdempotencyKey>,
    /// Its order within the workspace.
    pub priority: CallPriority,
    /// Time that the caller gives it, counted from its arrival.
    pub timeout: Option<Duration>,
}

/// What a call asks for.
#[derive(Clone, Debug)]
pub enum CallKind {
    /// Tokens of a model.
    Model {
        /// Hashes of the prompt's blocks.
        prefix: Vec<BlockHash>,
        /// Tokens that it may generate.
        tokens: u32,
    },
    /// Call of a plain service.
    Plain {
        /// HTTP method.
        method: Arc<str>,
        /// Path within the service.
        path: Arc<str>,
        /// Digest of method, path and body.
        digest: RequestDigest,
    },
}

/// Whether a call had an effect at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunState {
    /// It was not run and will not be.
    NotRun,
    /// Another attempt at it is under way.
    Running,
    /// It may or may not have been run.
    Unknown,
}

/// Honest answer to a call that gets no other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallRefusal {
    /// Why.
    pub cause: RefusalCause,
    /// Whether it was run.
    pub run: RunState,
    /// Instant before which the caller should not ask again.
    pub retry_at: Option<ClockTime>,
}

/// Why a call is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalCause {
    /// No caller has this API key.
    UnknownKey,
    /// The workspace may not use the service, or there is none.
    UnknownService,
    /// The service has no calls of this kind.
    WrongKind,
    /// A non-idempotent call came without a key.
    KeyMissing,
    /// The key was used for another request.
    KeyReused,
    /// Too many calls wait.
    Overloaded,
    /// The call cannot start, or did not start, by its deadline.
    Deadline,
    /// Nothing serves the service at present.
    NoEndpoint,
    /// The platform's store gives no answer.
    StoreDown,
    /// The endpoint gave no whole answer.
    EndpointLost,
    /// Another attempt with the same key is under way.
    StillRunning,
}

/// What a call's task shall do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallStep {
    /// Answer the caller with a refusal.
    Refuse(CallRefusal),
    /// Send the call to an endpoint.
    Send(SendOrder),
    /// Answer the caller with what the ledger has.
    Answer(RecordedResponse),
    /// Break the attempt under way off and report it lost.
    Stop,
    /// Do nothing more: the caller is gone.
    Forget,
}

/// Attempt that a call's task shall make.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SendOrder {
    /// Where to send it.
    pub address: SocketAddr,
    /// Group that is meant; none for a plain server.
    pub place: Option<AttemptPlace>,
    /// Instant by which the answer must begin.
    pub deadline: ClockTime,
    /// Whether the whole answer is wanted for the ledger.
    pub record: bool,
}

/// Group and generation that an attempt is meant for.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptPlace {
    /// The group.
    pub group: GroupName,
    /// Its generation.
    pub epoch: GroupEpoch,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The caller has the whole answer.
    Answered,
    /// The whole answer is here, to be recorded before the caller gets it.
    Recorded(RecordedResponse),
    /// Nothing was sent, or the endpoint said that it ran nothing.
    NotSent,
    /// Something was sent, but the answer is not whole.
    Lost,
    /// The caller is gone.
    CallerGone,
}

/// Call that has not ended.
#[derive(Clone, Debug)]
pub(crate) struct CallState {
    pub arrival: CallArrival,
    pub workspace: WorkspaceName,
    pub caller: CallerName,
    pub idempotency: limits::CallIdempotency,
    pub deadline: ClockTime,
    pub arrived_at: ClockTime,
    pub failed: Vec<TargetId>,
    pub phase: CallPhase,
    pub began: bool,
    pub may_have_run: bool,
}

/// How far a call is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum CallPhase {
    /// Waits to be admitted.
    Waiting,
    /// Waits for its start mark.
    Marking,
    /// Is being tried.
    Trying {
        target: TargetId,
        place: Option<AttemptPlace>,
    },
    /// Waits for its answer to be recorded.
    Recording,
}
