//! Tests of the event loop and the encodings, without network.

mod events;
mod messages;
mod node;
mod star;
mod support;
