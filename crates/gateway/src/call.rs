//! A call and the steps of its processing.

use std::net::SocketAddr;

use base::prelude::*;
use document::KeyDigest;
use exchange::commands::{record_not_run, record_start};
use exchange::queries::certainty;
use exchange::{NotRunProof, RunCertainty, RunRecord};
use ledger::{RecordedResponse, RequestDigest};
use limits::CallPriority;
use routing::{BlockHash, TargetId};

/// Received call.
#[derive(Clone, Debug)]
pub struct CallArrival {
    /// Identifier of the call within this process.
    pub call: CallId,
    /// Digest of the caller's API key.
    pub digest: KeyDigest,
    /// Called service.
    pub service: ServiceName,
    /// Type of the call and its parameters.
    pub kind: CallKind,
    /// Idempotency key, if the caller sent one.
    pub key: Option<IdempotencyKey>,
    /// Priority within the workspace.
    pub priority: CallPriority,
    /// Timeout set by the caller, counted from the arrival; `None` for the
    /// service's default.
    pub timeout: Option<Duration>,
}

/// Type of a call and its parameters.
#[derive(Clone, Debug)]
pub enum CallKind {
    /// Generation of tokens by a model.
    Model {
        /// Hashes of the blocks at the start of the prompt.
        prefix: Vec<BlockHash>,
        /// Largest number of tokens to generate.
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

/// Whether an endpoint ran a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunState {
    /// Was not run and will not be.
    NotRun(NotRunProof),
    /// Another request with the same idempotency key is being processed.
    Running,
    /// May or may not have been run.
    Unknown,
}

impl From<RunCertainty> for RunState {
    fn from(certainty: RunCertainty) -> Self {
        match certainty {
            RunCertainty::NotRun(proof) => Self::NotRun(proof),
            RunCertainty::MayHaveRun => Self::Unknown,
        }
    }
}

/// Error response to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallRefusal {
    /// Cause of the refusal.
    pub cause: RefusalCause,
    /// Whether the call was run.
    pub run: RunState,
    /// Earliest instant at which the caller should retry.
    pub retry_at: Option<ClockTime>,
}

impl CallRefusal {
    /// Refusal of a call that is not accepted.
    pub(crate) fn on_arrival(cause: RefusalCause, retry_at: Option<ClockTime>) -> Self {
        Self {
            cause,
            run: certainty(&RunRecord::default()).into(),
            retry_at,
        }
    }
}

/// Why a call is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalCause {
    /// The API key is unknown.
    UnknownKey,
    /// The service doesn't exist or the workspace may not use it.
    UnknownService,
    /// A plain call to a model service, or a model call to a plain service.
    WrongKind,
    /// A non-idempotent call has no idempotency key.
    KeyMissing,
    /// The idempotency key was used for a different request.
    KeyReused,
    /// The document in force gives a reason to refuse the call, but a newer one is known to exist.
    DocumentBehind,
    /// The workspace's queue is full.
    Overloaded,
    /// The call cannot start or did not start by its deadline.
    Deadline,
    /// No endpoint serves the service at present.
    NoEndpoint,
    /// The platform's store is unavailable or the ledger shard is full.
    StoreDown,
    /// The endpoint's response was lost or incomplete.
    EndpointLost,
    /// A call with the same idempotency key is being processed.
    StillRunning,
}

/// Next step of a call's task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallStep {
    /// Send the caller an error response and end.
    Refuse(CallRefusal),
    /// Send the request to an endpoint.
    Send(SendOrder),
    /// Send the caller the recorded response and end.
    Respond(RecordedResponse),
    /// Abort an attempt and report it as lost, if it is open.
    Abort(AttemptNumber),
    /// Forward nothing of an attempt's response until it is resumed.
    Suspend(AttemptNumber),
    /// Forward the response of a suspended attempt again.
    Resume(AttemptNumber),
    /// End without a response: the caller has disconnected.
    Discard,
}

/// Number of an attempt within its call; the first one is 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptNumber(pub u32);

impl AttemptNumber {
    /// Number of the following attempt.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// Order to send a call's request to an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SendOrder {
    /// Number of the attempt.
    pub attempt: AttemptNumber,
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// Addressed group and its generation; `None` for a plain server.
    pub generation: Option<GroupGeneration>,
    /// Instant by which the response must start.
    pub deadline: ClockTime,
    /// Whether the whole response is collected and recorded in the ledger
    /// before the caller gets it.
    pub record_response: bool,
}

/// Group at one generation of its membership.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct GroupGeneration {
    /// Group name.
    pub group: GroupName,
    /// Generation of the membership.
    pub epoch: GroupEpoch,
}

/// Outcome of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The caller received the whole response.
    Answered,
    /// The whole response was received and must be recorded before the caller
    /// gets it.
    Recorded(RecordedResponse),
    /// The request was not sent, or the endpoint refused to run it.
    NotSent(NotRunProof),
    /// The request was sent, but the response is missing or incomplete.
    Lost,
}

impl AttemptEnd {
    /// Name in logs.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Recorded(_) => "recorded",
            Self::NotSent(_) => "not-sent",
            Self::Lost => "lost",
        }
    }
}

/// State of a call that has not ended.
#[derive(Clone, Debug)]
pub(crate) struct CallState {
    pub arrival: CallArrival,
    pub workspace: WorkspaceName,
    pub caller: CallerName,
    pub idempotency: limits::CallIdempotency,
    pub deadline: ClockTime,
    pub arrived_at: ClockTime,
    pub failed_targets: Vec<TargetId>,
    pub progress: CallProgress,
    pub last_attempt: AttemptNumber,
    pub response_started: bool,
    pub runs: RunRecord,
}

impl CallState {
    /// Open attempts, the latest one last.
    pub fn open_attempts(&self) -> &[OpenAttempt] {
        match &self.progress {
            CallProgress::InFlight(attempts) => attempts,
            _ => &[],
        }
    }

    /// Open attempts, to change.
    pub fn open_attempts_mut(&mut self) -> &mut [OpenAttempt] {
        match &mut self.progress {
            CallProgress::InFlight(attempts) => attempts,
            _ => &mut [],
        }
    }

    /// Open attempt of this number.
    pub fn attempt_mut(&mut self, number: AttemptNumber) -> Option<&mut OpenAttempt> {
        let mut attempts = self.open_attempts_mut().iter_mut();
        attempts.find(|attempt| attempt.number == number)
    }

    /// What is certain about whether the call was run.
    pub fn run_state(&self) -> RunState {
        certainty(&self.runs).into()
    }

    /// Records that an attempt was not run.
    pub fn record_not_run(&mut self, attempt: AttemptNumber, proof: NotRunProof) {
        record_not_run(&mut self.runs, attempt.0, proof);
    }

    /// Adds the latest attempt, which may run from now on.
    pub fn add_attempt(&mut self, attempt: OpenAttempt) {
        record_start(&mut self.runs, attempt.number.0);
        match &mut self.progress {
            CallProgress::InFlight(attempts) => attempts.push(attempt),
            progress => *progress = CallProgress::InFlight(vec![attempt]),
        }
    }

    /// Removes an attempt that has ended; the call waits for the next one if it was the
    /// last.
    pub fn remove_attempt(&mut self, number: AttemptNumber) -> Option<OpenAttempt> {
        let CallProgress::InFlight(attempts) = &mut self.progress else {
            return None;
        };
        let position = attempts
            .iter()
            .position(|attempt| attempt.number == number)?;
        let attempt = attempts.remove(position);
        if attempts.is_empty() {
            self.progress = CallProgress::Starting;
        }
        Some(attempt)
    }

    /// Whether the call waits for endpoints none of which can be expected to answer.
    pub fn is_held(&self) -> bool {
        let attempts = self.open_attempts();
        !attempts.is_empty() && attempts.iter().all(OpenAttempt::is_held)
    }

    /// Whether a further attempt may still start.
    pub fn is_in_time(&self, now: ClockTime) -> bool {
        now < self.deadline || self.response_started
    }

    /// Instant until which an endpoint is waited for. The caller's timeout limits the
    /// time to the start of the response, and each interruption of a started one.
    pub fn wait_deadline(&self, now: ClockTime) -> ClockTime {
        if self.response_started {
            now + self.deadline.since(self.arrived_at)
        } else {
            self.deadline
        }
    }
}

/// Progress of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum CallProgress {
    /// Waits in the admission queue.
    Queued,
    /// Waits for its start to be recorded in the ledger, or for the next
    /// attempt.
    Starting,
    /// At least one attempt is open; the latest one is the last.
    InFlight(Vec<OpenAttempt>),
    /// Waits for its outcome to be recorded in the ledger.
    Recording,
}

/// Attempt that has not ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct OpenAttempt {
    pub number: AttemptNumber,
    pub target: TargetId,
    pub generation: Option<GroupGeneration>,
    /// Its stream has had no event for the silence limit.
    pub is_silent: bool,
    /// Nothing of its response is forwarded, as a member of its group doesn't report.
    pub is_suspended: bool,
}

impl OpenAttempt {
    fn is_held(&self) -> bool {
        self.is_silent || self.is_suspended
    }
}

/// Deadlines of a call all of whose attempts are silent or suspended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CallHold {
    /// Instant at which the response counts as lost.
    pub lost_at: ClockTime,
    /// Instant of the next try to send the call to another target.
    pub retry_at: ClockTime,
}
