//! What a node decides, behind one interface.

use base::prelude::*;
use routing::{BlockHash, CacheEvent, LoadSample};

/// Attempt of a caller at a node.
#[derive(Clone, Debug)]
pub struct NodeCall {
    pub call: CallId,
    pub workspace: WorkspaceName,
    pub tokens: u32,
    pub prefix: Vec<BlockHash>,
    pub deadline: ClockTime,
}

/// What a node does.
#[derive(Clone, Debug)]
pub enum NodeAction {
    /// Sends a call to an endpoint.
    Send { call: CallId, endpoint: usize },
    /// Tries a failed call again at an instant.
    Retry { call: CallId, due: ClockTime },
    /// Answers that the call was not run.
    Refuse {
        call: CallId,
        retry_at: Option<ClockTime>,
    },
    /// Answers that the call failed.
    Fail { call: CallId },
}

/// Decisions of one node.
pub trait NodePolicy {
    /// A caller asks.
    fn arrive(&mut self, call: NodeCall, now: ClockTime) -> Vec<NodeAction>;
    /// A retry is due.
    fn retry(&mut self, call: CallId, now: ClockTime) -> Vec<NodeAction>;
    /// A call ended well.
    fn finish(&mut self, call: CallId, now: ClockTime) -> Vec<NodeAction>;
    /// The endpoint of a call failed.
    fn fail(&mut self, call: CallId, now: ClockTime) -> Vec<NodeAction>;
    /// The caller hung up.
    fn hang_up(&mut self, call: CallId, now: ClockTime) -> Vec<NodeAction>;
    /// A deadline may have passed.
    fn wake(&mut self, now: ClockTime) -> Vec<NodeAction>;
    /// When to wake next.
    fn next_deadline(&self) -> Option<ClockTime>;
    /// Endpoints that are thought to serve.
    fn set_endpoints(&mut self, endpoints: &[usize], now: ClockTime) -> Vec<NodeAction>;
    /// Load reports of all endpoints, dated.
    fn observe_load(
        &mut self,
        samples: &[(usize, LoadSample)],
        taken: ClockTime,
        now: ClockTime,
    ) -> Vec<NodeAction>;
    /// A cache event arrived.
    fn observe_cache(&mut self, endpoint: usize, event: CacheEvent);
}
