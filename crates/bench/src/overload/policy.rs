//! Interface of the policies of a node.

use base::prelude::*;
use routing::{BlockHash, CacheEvent, LoadSample};

/// Call that a caller sends to a node.
#[derive(Clone, Debug)]
pub struct NodeCall {
    pub call: CallId,
    pub workspace: WorkspaceName,
    pub tokens: u32,
    pub prefix: Vec<BlockHash>,
    pub deadline: ClockTime,
}

/// Action that a node decides on.
#[derive(Clone, Debug)]
pub enum NodeAction {
    /// Send a call to an endpoint.
    Send { call: CallId, endpoint: usize },
    /// Retry a failed call at an instant.
    Retry { call: CallId, due: ClockTime },
    /// Respond that the call was not run.
    Refuse {
        call: CallId,
        retry_at: Option<ClockTime>,
    },
    /// Respond that the call failed.
    Fail { call: CallId },
}

/// Admission, routing and retry policy of one node.
pub trait NodePolicy {
    /// A call arrives from a caller.
    fn arrive(&mut self, call: NodeCall, now: ClockTime) -> Vec<NodeAction>;
    /// A retry is due.
    fn retry(&mut self, call: CallId, now: ClockTime) -> Vec<NodeAction>;
    /// A call completed.
    fn finish(&mut self, call: CallId, now: ClockTime) -> Vec<NodeAction>;
    /// The attempt of a call failed at its endpoint.
    fn fail(&mut self, call: CallId, now: ClockTime) -> Vec<NodeAction>;
    /// The caller closed its connection.
    fn disconnect(&mut self, call: CallId, now: ClockTime) -> Vec<NodeAction>;
    /// A deadline may have passed; expires calls.
    fn wake(&mut self, now: ClockTime) -> Vec<NodeAction>;
    /// Earliest deadline, when `wake` is to be called.
    fn next_deadline(&self) -> Option<ClockTime>;
    /// Replaces the endpoints that are believed to serve.
    fn set_endpoints(&mut self, endpoints: &[usize], now: ClockTime) -> Vec<NodeAction>;
    /// Load reports of the endpoints, taken at an earlier instant.
    fn observe_load(
        &mut self,
        samples: &[(usize, LoadSample)],
        taken: ClockTime,
        now: ClockTime,
    ) -> Vec<NodeAction>;
    /// A cache event of an endpoint arrived.
    fn observe_cache(&mut self, endpoint: usize, event: CacheEvent);
}
