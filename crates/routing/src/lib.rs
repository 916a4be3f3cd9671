//! Chooses the replica group or server that runs a call.
//!
//! One [`RoutingState`] stands for one service. [`commands`] take in what is
//! learned of its targets: which there are, calls begun and ended here, load
//! reports, cache events, and which are leaving. [`queries::choose`] picks a
//! target and changes nothing; the call is counted once
//! [`commands::begin`] says that it was sent.
//!
//! Nodes don't see one another's calls, and reports are late. A node that
//! always took the best of all targets would do so together with all others
//! until the next report. A node's own calls are its only fresh news, and so
//! each target is first filled up to the node's even part of its slots: if all
//! nodes do so, no target gets more than it can run. Then each call weighs only a few candidates: two drawn
//! at random, those that its prompt's prefix hashes to, which every node finds
//! alike without a message, and the best one known to hold the prefix. Where many
//! nodes share a target their parts are single slots, and a small random cost
//! keeps them from choosing alike.

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
