//! Tests of the relay.

mod attempts;
mod choice;
mod limited;
mod nearly_full;

mod spread;
mod support;
