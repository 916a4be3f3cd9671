//! Tests of the decisions of the gateway's event loop.

mod attempts;
mod authorization;
mod fleet;
mod groups;
mod harness;
mod interleaving;
mod leaving;
mod non_idempotent;
mod queues;
mod shutdown;
mod silence;
mod world;
