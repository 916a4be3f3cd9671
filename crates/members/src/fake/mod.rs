//! Queues of frames between many states, for tests and measurements.
//!
//! A [`FakeNetwork`] keeps model time, delays and loses frames, and carries the
//! effects of each [`PeerState`](crate::PeerState) out against a [`FakeStore`].
//! Every frame passes the codec.

mod meter;
mod network;
mod store;

pub use meter::{NodeMeter, OVERHEAD_BYTES, Stopwatch};
pub use network::{FakeNetwork, NetworkFaults, NetworkLatency};
pub use store::FakeStore;
