//! Chooses the replica group or server that runs a call.
//!
//! One [`RoutingState`] describes one service. [`commands`] update it with the list
//! of targets, the start and end of this node's calls, load reports, cache events and
//! leaving targets. [`queries::choose`] selects a target and changes nothing; the
//! call counts from [`commands::begin`], when it is sent.
//!
//! Nodes do not see the calls of other nodes, and reports lag behind. If each node
//! always chose the best target, all of them would choose the same one until the
//! next report. Only the counts of its local calls are current, so a node first fills
//! each target up to an even part of its slots: if all nodes do so, no target gets
//! more calls than it can run. In addition, each call is scored on a few candidates
//! only: two random ones, those that the prefix of its prompt hashes to, which are the
//! same on every node, and the one known to have most of the prefix cached. If many
//! nodes share a target, each part is a single slot, and a small random cost keeps the
//! nodes from choosing the same target.

mod cache;
mod prefix;
mod settings;
mod state;
mod target;

pub mod commands;
pub mod queries;

pub use cache::{CacheChange, CacheEvent};
pub use prefix::{BlockHash, hash_prefix};
pub use settings::RouteSettings;
pub use state::RoutingState;
pub use target::{LoadSample, TargetId, TargetSpec};
