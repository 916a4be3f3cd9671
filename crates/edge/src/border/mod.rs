//! Input and output with clients, servers, the store and the other nodes.

mod attempt;
mod attempts;
mod carried_answer;
mod crashes;
mod digest;
pub mod events;
mod executor;
mod gate;
mod ingress;
mod labels;
mod links;
mod pass;
mod pass_wire;
mod readiness;
mod reload;
mod responses;
mod run;
mod stream;
mod traffic;
mod watch;
mod wire;

pub mod ports;

pub use run::{EdgeParts, run_edge};
pub use wire::{MessageError, decode_message, encode_message};

use net::PendingReplies;

use crate::{EdgeEvent, EdgeQuestion, EdgeReply};

/// Pending replies of this daemon's event loop.
pub(crate) type EdgeReplies = PendingReplies<EdgeEvent, EdgeQuestion, EdgeReply>;
