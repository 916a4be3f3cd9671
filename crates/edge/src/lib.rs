//! Daemon of an entry host on a platform that keeps everything that must last.
//!
//! Every node runs the same process. It forwards requests unchanged to plain
//! servers and to the heads of replica groups, and one of the nodes, the owner,
//! forms and repairs the groups. The loop ([`EdgeState`]) decides; the border
//! talks to clients, servers, the store and the other nodes.

pub mod border;
mod event;
mod handler;
mod peer;
mod settings;
mod state;

pub mod commands;
pub mod queries;

pub use event::{
    Arrival, ArrivalOutcome, EdgeAnswer, EdgeEffect, EdgeEvent, EdgeQuestion, EdgeStatus,
    FeedEvent, FeedPace, RejectReason,
};
pub use peer::{Digest, PeerAddress, PeerMessage, SlowPace};
pub use settings::{EdgeBounds, EdgeSettings};
pub use state::{EdgeState, EdgeTimes};
