//! Tests of the relay.

mod attempts;
mod choice;
mod spread;
mod support;
