//! HTTP/1.1 client and server.
//!
//! [`serve`] runs one [`WebService`] on a listener, within [`WebLimits`].
//! [`WebClient`] sends requests to other servers. It reuses a connection only
//! if the last response on it was read to its end.

mod body;
mod client;
mod gate;
mod held;
mod json;
mod limits;
mod response;
mod server;
mod target;
mod text;

pub use body::{BodyError, BodySender, RequestBody, WebBody, body_channel, empty_body, full_body};
pub use client::{
    BodyAllowance, CallOutcome, ChunkOutcome, CollectOutcome, IncomingResponse, ReadProgress,
    WebClient, WebRequest,
};
pub use gate::SendGate;
pub use held::{UnreadRequest, WholeRequest, drop_request};
pub use json::{JsonClient, JsonOutcome};
pub use limits::WebLimits;
pub use response::{WebResponse, json_response, text_response};
pub use server::{ReceiveError, WebService, bind, receive_body, receive_request, serve};
pub use target::{RequestTarget, decode_segment};
pub use text::{BodyText, TextError};
