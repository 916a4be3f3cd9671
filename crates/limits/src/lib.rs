//! Admission, fair shares between workspaces, and retry budgets.
//!
//! Every call is offered once and has one outcome: it is admitted, refused as "not
//! run", or cancelled by its caller. [`commands`] change an [`AdmissionState`] and
//! return the results as values; [`queries`] only read it.
//!
//! Each service has a number of slots. While none is free, calls wait in bounded
//! queues, one per workspace and service. Start-time fair queueing selects the next
//! workspace: each start increases the workspace's tag by the call's cost divided
//! by its share, and the smallest tag goes first. Within a workspace, calls of
//! higher priority go first. Running calls are not preempted, so with fair order
//! alone a workspace that floods a service would make the others wait until its
//! calls end. A few slots are therefore reserved for bursts of the others. A call
//! whose estimated wait exceeds its deadline is refused at once.
//!
//! Only idempotent calls may be retried, which [`IdempotentCall`] proves. Each retry
//! is charged to a [`RetryBudget`].

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
pub use outcome::{AdmissionOutcome, AdmissionRefusalReason, CallRefusal, QueueChange};
pub use request::{AdmissionRequest, CallPriority};
pub use settings::{BackoffSettings, BudgetSettings, LimitSettings};
pub use slots::SlotUsage;
pub use state::{AdmissionState, WorkspaceLimits};
