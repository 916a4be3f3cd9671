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
pub use caller::{JsonClient, JsonOutcome};
pub use client::{
    CallOutcome, ChunkOutcome, CollectOutcome, IncomingResponse, WebClient, WebRequest,
};
pub use limits::WebLimits;
pub use reply::{WebResponse, json_response, text_response};
pub use server::{ReceiveError, WebService, bind, receive_body, serve};
