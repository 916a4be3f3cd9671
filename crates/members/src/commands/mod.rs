//! Changes of a [`PeerState`](crate::PeerState); each returns its effects.
//!
//! `join` starts a node and `leave` announces its planned shutdown, `receive` handles
//! a frame, `tick` acts on expired deadlines, `apply_store_item` and
//! `apply_store_listing` apply what was read from the store, `publish` what this
//! node has written to it, and `record_observation` merges an observation made by
//! this node. The other modules each handle one kind of message.

mod announce;
mod bodies;
mod compare;
mod confirm;
mod gossip;
mod join;
mod notice;
mod observe;
mod receive;
mod refresh;
mod store;
mod tick;

pub(crate) use observe::subsets_of;
