//! Decisions of the gateway's loop, event by event.

mod attempts;
mod authorization;
mod fleet;
mod groups;
mod harness;
mod interleaving;
mod leaving;
mod marks;
mod queues;
mod stops;
mod world;
