//! Tests of the node without its border.

mod events;
mod messages;
mod node;
mod star;
mod support;
