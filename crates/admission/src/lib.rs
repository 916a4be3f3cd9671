//! Admission of requests to model engines when demand exceeds their capacity.
//!
//! An [`EngineEstimate`] predicts from a service's profile how long a request runs and how long
//! it waits for a slot. [`DemandRates`] holds the arrival rates of one node. From both and from
//! the requests in flight, [`queries::admit`] decides whether a request is sent or refused, and
//! when a refused client may retry.
//!
//! Every node decides by itself. The nodes' counts of requests in flight are old, so a node that
//! sees room admits only a fraction of its requests: all nodes together then fill the room once.

mod decision;
mod demand;
mod estimate;
mod offset;

pub mod commands;
pub mod queries;

pub use decision::{
    AdmissionDecision, AdmissionInput, AdmissionRank, EngineLoad, RefusalCause, RetryAdvice,
};
pub use demand::{DemandRates, RankDemand, WorkspaceDemand};
pub use estimate::EngineEstimate;
