//! Tests of the relay.

mod attempts;
mod choice;
mod support;
