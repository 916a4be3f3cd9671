//! Where a request is sent, how often, and what its failure means.
//!
//! A [`RelayState`] holds the targets that take requests (heads of replica
//! groups, plain servers), what runs there, and the requests under way.
//! `commands` change it and answer with a [`CallStep`]; `queries` only read.
//!
//! A request is sent again only where no server can have run it, or where it
//! may run more than once; every extra send draws on the service's budget. A
//! refusal says "not run" only if every server said so or nothing was sent.

mod call;
mod patience;
mod settings;
mod state;
mod target;

pub mod commands;
pub mod queries;

pub use call::{AttemptEnd, CallArrival, CallStep, Refusal, RefusalReason, SendOrder, StallStep};
pub use settings::RelaySettings;
pub use state::RelayState;
pub use target::{Lane, LaneCounts, SendTarget, TargetLoad};
