//! Load balancing, retries and stall detection for requests.
//!
//! A [`RelayState`] holds the targets that accept requests (heads of replica
//! groups and plain servers), their load, and the requests in flight. `commands`
//! change it and return a [`CallStep`]; `queries` only read.
//!
//! A server that names a limit is sent requests only while this node has a turn there, see
//! [`notices`]. Where every server is limited or full, the least urgent requests are refused
//! at once, so that the turns that are left go to the others.
//!
//! Requests for engines whose times the configuration names are admitted as [`admission`] decides.
//!
//! A request is retried only if no target can have run it or if it may run more
//! than once; every retry draws on the service's retry budget. A refusal says
//! "not run" only if every target reported so or nothing was sent.
//!
//! A silent target may be sound and go on a moment later. So a request that moves to another
//! target keeps the silent attempt open until one of them makes progress. The move is decided as
//! a whole: its retry is claimed and its target is chosen before anything is given up, and the
//! next request that asks sees what is left.

mod call;
mod client_timeouts;
mod demand;
mod engines;
mod settings;
mod state;
mod target;

pub mod commands;
pub mod queries;

pub use call::{
    AdmissionRefusal, AttemptEnd, AttemptId, CallArrival, CallStep, Refusal, RefusalReason,
    SendOrder, SentAttempt, StallCause, StallStep,
};
pub use demand::ModelRates;
pub use settings::RelaySettings;
pub use state::RelayState;
pub use target::{Lane, LaneCounts, SendTarget, TargetLoad};
