//! Plain choices: round robin, one queue without deadlines, fixed delays.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use base::prelude::*;
use routing::{CacheEvent, LoadSample};

use super::policy::{NodeAction, NodeCall, NodePolicy};
use super::setup::Setup;

/// Delay before every retry.
const RETRY_DELAY: Duration = Duration::from_millis(250);
/// Attempts for one call.
const ATTEMPTS: u32 = 3;

/// Node with plain choices.
pub struct PlainNode {
    slots: usize,
    nodes: usize,
    running: BTreeSet<CallId>,
    queue: VecDeque<CallId>,
    attempts: BTreeMap<CallId, u32>,
    endpoints: Vec<usize>,
    turn: usize,
}

impl PlainNode {
    /// Node number so many of a run.
    pub fn new(setup: &Setup, number: usize) -> Self {
        Self {
            slots: setup.slots,
            nodes: setup.nodes,
            running: BTreeSet::new(),
            queue: VecDeque::new(),
            attempts: BTreeMap::new(),
            endpoints: Vec::new(),
            turn: number,
        }
    }

    fn start(&mut self) -> Vec<NodeAction> {
        let mut actions = Vec::new();
        let part = (self.slots * self.endpoints.len()).div_ceil(self.nodes);
        while self.running.len() < part {
            let Some(call) = self.queue.pop_front() else {
                break;
            };
            self.running.insert(call);
            self.turn += 1;
            let endpoint = self.endpoints[self.turn % self.endpoints.len()];
            actions.push(NodeAction::Send { call, endpoint });
        }
        actions
    }
}

impl NodePolicy for PlainNode {
    fn arrive(&mut self, call: NodeCall, _now: ClockTime) -> Vec<NodeAction> {
        self.attempts.insert(call.call, 1);
        self.queue.push_back(call.call);
        self.start()
    }

    fn retry(&mut self, call: CallId, _now: ClockTime) -> Vec<NodeAction> {
        if self.attempts.contains_key(&call) {
            self.queue.push_back(call);
        }
        self.start()
    }

    fn finish(&mut self, call: CallId, _now: ClockTime) -> Vec<NodeAction> {
        self.attempts.remove(&call);
        self.running.remove(&call);
        self.start()
    }

    fn fail(&mut self, call: CallId, now: ClockTime) -> Vec<NodeAction> {
        self.running.remove(&call);
        let mut actions = self.start();
        let attempts = self.attempts.entry(call).or_default();
        *attempts += 1;
        if *attempts > ATTEMPTS {
            self.attempts.remove(&call);
            actions.push(NodeAction::Fail { call });
        } else {
            let due = now + RETRY_DELAY;
            actions.push(NodeAction::Retry { call, due });
        }
        actions
    }

    fn hang_up(&mut self, call: CallId, _now: ClockTime) -> Vec<NodeAction> {
        self.attempts.remove(&call);
        self.queue.retain(|other| *other != call);
        self.running.remove(&call);
        self.start()
    }

    fn wake(&mut self, _now: ClockTime) -> Vec<NodeAction> {
        Vec::new()
    }

    fn next_deadline(&self) -> Option<ClockTime> {
        None
    }

    fn set_endpoints(&mut self, endpoints: &[usize], _now: ClockTime) -> Vec<NodeAction> {
        self.endpoints = endpoints.to_vec();
        self.start()
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
