//! Daemon of an entry host on a platform that provides all persistent storage.
//!
//! Every node runs the same process. It forwards requests unchanged to plain
//! servers and to the heads of replica groups, and one of the nodes, the owner,
//! forms and repairs the groups. The event loop ([`EdgeState`]) makes all
//! decisions; [`border`] does the input and output with clients, servers, the
//! store and the other nodes.

pub mod border;
mod byte_budget;
mod event;
mod feed;
mod handler;
mod pass;
mod peer;
mod settings;
mod state;

pub mod commands;
pub mod queries;

pub use byte_budget::{ByteBudget, ByteRate};
pub use event::{
    Arrival, ArrivalOutcome, CollectionEvent, EdgeEffect, EdgeEvent, EdgeQuestion, EdgeReply,
    EdgeStatus, RejectReason, WatchMode,
};
pub use feed::{FeedResult, FeedSchedule, FeedStep, READ_PAUSE, StoreContact};
pub use pass::{CarriedSuspects, PassDecision, PassRequest};
pub use peer::{
    DemandReport, Digest, NodeWeight, PeerAddress, PeerMessage, SlowPace, TargetsVersion,
    transfer_timeout,
};
pub use settings::{ColdBounds, EdgeBounds, EdgeSettings};
pub use state::{EdgeState, EdgeTimes};
