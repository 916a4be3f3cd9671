//! Changes of a [`PeerState`](crate::PeerState); each returns its effects.
//!
//! `join` starts a node and `leave` ends it, `receive` takes in a frame, `tick`
//! acts on deadlines, `learn` takes in what the store said, `observe` what this
//! node saw of a group, and `publish` what it knows to be stored. The other
//! modules each carry out one kind of message.

mod announce;
mod bodies;
mod compare;
mod confirm;
mod join;
mod learn;
mod observe;
mod receive;
mod refresh;
mod spread;
mod tick;

pub(crate) use observe::subsets_of;
