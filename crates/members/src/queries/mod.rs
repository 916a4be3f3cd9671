//! Queries on a [`PeerState`](crate::PeerState); none changes it.

mod nodes;
mod serving;
mod versions;

pub use versions::ReadinessProof;
