//! Admission, fair shares between workspaces, and retry budgets.
//!
//! Every call is offered once and has one end: it is admitted, refused as "not
//! run", or cancelled by its caller. [`commands`] change an [`AdmissionState`]
//! and return what happened as values; [`queries`] only read it.
//!
//! Each service has a number of slots. While none is free, calls wait in
//! bounded queues, one for each workspace and service. Start-time fair queueing
//! picks the workspace that goes next: each start moves a workspace's tag by the
//! call's cost over its share, and the smallest tag is served first. Within a
//! workspace the higher priority goes first. Calls can't be taken back once they
//! run, so fair order alone leaves the others of a flooding workspace waiting
//! for its calls to end: a few slots are kept from it for their bursts. A call whose estimated wait passes
//! its deadline is refused at once.
//!
//! Retries are for idempotent calls only, which [`IdempotentCall`] proves, and
//! each takes from a [`RetryBudget`].

mod backoff;
mod budget;
mod outcome;
mod request;
mod settings;
mod slots;
mod state;

pub mod commands;
pub mod queries;

pub use backoff::RetryBackoff;
pub use budget::{CallIdempotency, IdempotentCall, RetryBudget, RetryOutcome};
pub use outcome::{AdmissionOutcome, CallRefusal, QueueChange, RefusalReason};
pub use request::{AdmissionRequest, CallPriority};
pub use settings::{BackoffSettings, BudgetSettings, LimitSettings};
pub use slots::SlotUsage;
pub use state::{AdmissionState, WorkspaceLimits};
