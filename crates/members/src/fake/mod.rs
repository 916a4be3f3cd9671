//! Simulation of a network of nodes, for tests and measurements.
//!
//! A [`FakeNetwork`] keeps simulated time, delays and drops frames, and executes
//! the effects of each [`PeerState`](crate::PeerState) against a [`FakeStore`].
//! Every frame is encoded and decoded.

mod meter;
mod network;
mod store;

pub use meter::{NodeMeter, OVERHEAD_BYTES, Stopwatch};
pub use network::{FakeNetwork, NetworkFaults, NetworkLatency};
pub use store::FakeStore;
