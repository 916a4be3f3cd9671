//! Failure domains that are evacuated: nothing is sent to their servers until the evacuation ends.
//!
//! The platform's store decides which domains are evacuated. A node learns of them from the store or
//! from the messages of other nodes, and the whole set as of the newest revision of the store
//! prevails. Versions order the sets, also across a restore of the store from a copy, so it doesn't
//! matter by which way or in which order they arrive.
//!
//! [`commands`] change an [`EvacuationState`]; [`queries`] only read it.

mod state;

pub mod commands;
pub mod queries;

pub use state::{EvacuatedDomains, EvacuationChange, EvacuationSet, EvacuationState};
