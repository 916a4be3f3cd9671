//! HTTP/1.1 on both sides.
//!
//! [`serve`] runs one [`WebService`] on a listener, within [`WebLimits`].
//! [`WebClient`] calls others and keeps connections, but only those on which
//! the last answer was read to its end.

mod body;
mod caller;
mod client;
mod limits;
mod reply;
mod server;

pub use body::{BodyError, BodySender, WebBody, body_channel, empty_body, full_body};
pub use caller::{CallReply, JsonCaller};
pub use client::{CallOutcome, ChunkOutcome, CollectOutcome, WebAnswer, WebClient, WebRequest};
pub use limits::WebLimits;
pub use reply::{WebReply, json_reply, text_reply};
pub use server::{ReceiveError, WebService, bind, receive_body, serve};
