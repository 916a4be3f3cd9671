//! Baseline policy: round robin, one queue without deadlines, fixed retry delays.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use base::prelude::*;
use routing::{CacheEvent, LoadSample};

use super::policy::{NodeAction, NodeCall, NodePolicy};
use super::setup::Setup;

/// Delay before every retry.
const RETRY_DELAY: Duration = Duration::from_millis(250);
/// Attempts per call.
const MAX_ATTEMPTS: u32 = 3;

/// Node with the baseline policy.
pub struct PlainNode {
    slots: usize,
    nodes: usize,
    running: BTreeSet<CallId>,
    queue: VecDeque<CallId>,
    attempts: BTreeMap<CallId, u32>,
    endpoints: Vec<usize>,
    next_endpoint: usize,
}

impl PlainNode {
    /// Creates the node with this number; round robin starts there.
    pub fn new(setup: &Setup, number: usize) -> Self {
        Self {
            slots: setup.slots,
            nodes: setup.nodes,
            running: BTreeSet::new(),
            queue: VecDeque::new(),
            attempts: BTreeMap::new(),
            endpoints: Vec::new(),
            next_endpoint: number,
        }
    }

    fn start_queued(&mut self) -> Vec<NodeAction> {
        let mut actions = Vec::new();
        let slot_share = (self.slots * self.endpoints.len()).div_ceil(self.nodes);
        while self.running.len() < slot_share {
            let Some(call) = self.queue.pop_front() else {
                break;
            };
            self.running.insert(call);
            self.next_endpoint += 1;
            let endpoint = self.endpoints[self.next_endpoint % self.endpoints.len()];
            actions.push(NodeAction::Send { call, endpoint });
        }
        actions
    }
}

impl NodePolicy for PlainNode {
    fn arrive(&mut self, call: NodeCall, _now: ClockTime) -> Vec<NodeAction> {
        self.attempts.insert(call.call, 1);
        self.queue.push_back(call.call);
        self.start_queued()
    }

    fn retry(&mut self, call: CallId, _now: ClockTime) -> Vec<NodeAction> {
        if self.attempts.contains_key(&call) {
            self.queue.push_back(call);
        }
        self.start_queued()
    }

    fn finish(&mut self, call: CallId, _now: ClockTime) -> Vec<NodeAction> {
        self.attempts.remove(&call);
        self.running.remove(&call);
        self.start_queued()
    }

    fn fail(&mut self, call: CallId, now: ClockTime) -> Vec<NodeAction> {
        self.running.remove(&call);
        let mut actions = self.start_queued();
        let attempts = self.attempts.entry(call).or_default();
        *attempts += 1;
        if *attempts > MAX_ATTEMPTS {
            self.attempts.remove(&call);
            actions.push(NodeAction::Fail { call });
        } else {
            let due = now + RETRY_DELAY;
            actions.push(NodeAction::Retry { call, due });
        }
        actions
    }

    fn disconnect(&mut self, call: CallId, _now: ClockTime) -> Vec<NodeAction> {
        self.attempts.remove(&call);
        self.queue.retain(|other| *other != call);
        self.running.remove(&call);
        self.start_queued()
    }

    fn wake(&mut self, _now: ClockTime) -> Vec<NodeAction> {
        Vec::new()
    }

    fn next_deadline(&self) -> Option<ClockTime> {
        None
    }

    fn set_endpoints(&mut self, endpoints: &[usize], _now: ClockTime) -> Vec<NodeAction> {
        self.endpoints = endpoints.to_vec();
        self.start_queued()
    }

    fn observe_load(
        &mut self,
        _samples: &[(usize, LoadSample)],
        _taken: ClockTime,
        _now: ClockTime,
    ) -> Vec<NodeAction> {
        Vec::new()
    }

    fn observe_cache(&mut self, _endpoint: usize, _event: CacheEvent) {}
}
