//! Everything that talks to clients, servers, the store and the other nodes.

pub mod events;
mod exchange;
mod executor;
mod feeds;
mod front;
mod links;
mod marks;
mod page;
mod relayed;
mod reload;
mod reply;
mod run;
mod wire;

pub mod ports;

pub use run::{EdgeParts, run_edge};
pub use wire::{MessageError, decode_message, encode_message};

use net::PendingReplies;

use crate::{EdgeAnswer, EdgeEvent, EdgeQuestion};

/// Desk of this daemon's loop.
pub(crate) type EdgeReplies = PendingReplies<EdgeEvent, EdgeQuestion, EdgeAnswer>;
